package replicas

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
)

const (
	coldTime = 20 * time.Second
	second   = time.Second
)

// newColdTestTable returns a test table whose replicas are cold for coldTime after their start.
func newColdTestTable() *testTable {
	table := newTestTable()
	table.SetColdDuration(func(string) time.Duration { return coldTime })
	return table
}

// coldEntry returns an entry of replica a that reports a cold time.
func coldEntry(revision int64, cold time.Duration) Entry {
	e := entry("a", revision)
	e.ColdRemaining, e.ReportsCold = cold, true
	return e
}

// wantCold checks how much longer the only replica is cold.
func (table *testTable) wantCold(t *testing.T, step string, want time.Duration) {
	t.Helper()
	if diff := cmp.Diff(want, table.Ready("s")[0].ColdRemaining(table.now)); diff != "" {
		t.Errorf("%s: cold for (-want +got):\n%s", step, diff)
	}
}

// TestColdEntriesInAnyOrder merges entries with cold times in several orders, each entry
// twice: a cold time is applied only if its entry has the highest revision so far.
func TestColdEntriesInAnyOrder(t *testing.T) {
	entries := []Entry{coldEntry(2, 30*second), coldEntry(3, 0), coldEntry(4, 9*second), entry("a", 5)}
	orders := [][]int{{0, 1, 2, 3}, {2, 1, 0, 3}, {1, 2, 0, 3}, {3, 2, 1, 0}, {0, 2, 2, 1, 0}}
	want := []time.Duration{9 * second, 9 * second, 9 * second, 0, 9 * second}
	for i, order := range orders {
		table := newColdTestTable()
		table.Merge([]Entry{entry("a", 1)})
		for _, n := range order {
			table.Merge([]Entry{entries[n]})
			table.Merge([]Entry{entries[n]})
		}
		table.wantCold(t, string(rune('0'+i)), want[i])
	}
}

// TestColdTimeCountsDown reads the same entry repeatedly: its cold time counts from the first
// read, and the remaining time is published to other routers.
func TestColdTimeCountsDown(t *testing.T) {
	table := newColdTestTable()
	table.Merge([]Entry{coldEntry(2, 9*second)})
	table.now = table.now.Add(4 * second)
	table.Merge([]Entry{coldEntry(2, 9*second)})
	table.wantCold(t, "read again", 5*second)
	if diff := cmp.Diff([]Entry{coldEntry(2, 5*second)}, table.RecentChanges(1, time.Minute)); diff != "" {
		t.Errorf("published to others (-want +got):\n%s", diff)
	}
	table.Merge([]Entry{coldEntry(2, 3*second)}) // published by a router that read it earlier
	table.wantCold(t, "lower remaining time received", 3*second)
	moved := entry("a", 3)
	moved.Zone = "other"
	table.Merge([]Entry{moved})
	table.wantCold(t, "a change without a cold time", 3*second)
	table.Merge([]Entry{coldEntry(4, time.Hour)})
	table.wantCold(t, "too long", MaxCold)
	table.Merge([]Entry{coldEntry(5, -second)})
	table.wantCold(t, "negative", 0)
}

// TestColdChangesPublished has a replica become cold and warm while its entry is written
// every second: only changes that other routers cannot count down themselves are published.
func TestColdChangesPublished(t *testing.T) {
	table := newColdTestTable()
	table.Merge([]Entry{coldEntry(1, 0)})
	steps := []struct {
		cold time.Duration
		want bool
	}{
		{0, false}, {20 * second, true}, {19 * second, false}, {18*second + 300*time.Millisecond, false},
		{16600 * time.Millisecond, false},
		{25 * second, true}, {24 * second, false}, {0, true}, {0, false}, {0, false},
		{500 * time.Millisecond, true}, {0, false},
	}
	for i, s := range steps {
		table.now = table.now.Add(second)
		if got := len(table.Merge([]Entry{coldEntry(int64(i+2), s.cold)})) == 1; got != s.want {
			t.Errorf("step %d, cold for %v: published = %v, want %v", i, s.cold, got, s.want)
		}
	}
}

// TestUnusedColdNotPublished guards against traffic between routers about cold times for a
// service whose replicas are never treated as cold.
func TestUnusedColdNotPublished(t *testing.T) {
	table := newColdTestTable()
	table.SetColdDuration(func(string) time.Duration { return 0 })
	table.Merge([]Entry{coldEntry(1, 0)})
	digest := table.Digest()
	for i, cold := range []time.Duration{20 * second, 0, 5 * second} {
		if changed := table.Merge([]Entry{coldEntry(int64(i+2), cold)}); len(changed) != 0 {
			t.Errorf("cold for %v: published: %v", cold, changed)
		}
		if got := table.Digest(); got != digest {
			t.Errorf("cold for %v: the digest changed", cold)
		}
	}
}

// TestColdSurvivesEntryRewrite guards against a router that never receives a cold time
// because the entry was written again without it.
func TestColdSurvivesEntryRewrite(t *testing.T) {
	reader, late := newColdTestTable(), newColdTestTable()
	late.Merge([]Entry{entry("a", 1)})
	reader.Merge([]Entry{coldEntry(2, 9*second)})
	rewritten := entry("a", 3)
	rewritten.Zone = "other"
	late.Merge(reader.Merge([]Entry{rewritten}))
	late.wantCold(t, "forwarded", 9*second)
	reader.MergeEvacuations([]Evacuation{{Zone: "other", Active: true, Revision: 4}})
	reader.MergeEvacuations([]Evacuation{{Zone: "other", Revision: 5}})
	rewritten.Revision, rewritten.Zone = 6, "z"
	if got := reader.Merge([]Entry{rewritten}); got[0].ReportsCold {
		t.Errorf("published after the evacuation ended, which overrides what others assume: %+v", got)
	}
	reader.now = reader.now.Add(9 * second)
	if got := reader.RecentChanges(1, time.Minute); got[0].ReportsCold {
		t.Errorf("published with a cold time though it is warm again: %+v", got)
	}
}

// TestMissedColdIsFetched guards against a router that misses the heartbeats with a cold time
// and never receives it: the digests of the routers differ as long as the replica is cold.
func TestMissedColdIsFetched(t *testing.T) {
	started := entry("a", 2)
	started.StartedAt = 9
	for name, change := range map[string]Entry{"cold again": coldEntry(2, 9*second), "restarted": started} {
		reader, late := newColdTestTable(), newColdTestTable()
		both := []*testTable{reader, late}
		for _, table := range both {
			table.Merge([]Entry{entry("a", 1), entry("b", 1)})
		}
		warm := reader.Digest()
		reader.Merge([]Entry{change})
		if reader.Digest() == late.Digest() {
			t.Errorf("%s: a router that missed the change has the same digest", name)
		}
		late.Merge(reader.DifferingEntries(late.BucketDigests()))
		late.wantCold(t, name, reader.Ready("s")[0].ColdRemaining(reader.now))
		for i := int64(3); i < 6; i++ { // written again, which only the reader sees
			reader.now, late.now = reader.now.Add(second), late.now.Add(second)
			again := change
			again.Revision, again.ReportsCold, again.ColdRemaining = i, true, reader.Ready("s")[0].ColdRemaining(reader.now)
			reader.Merge([]Entry{again})
			if reader.Digest() != late.Digest() || reader.Digest() == warm {
				t.Errorf("%s, revision %d: digests %x and %x, warm %x", name, i, reader.Digest(), late.Digest(), warm)
			}
		}
		for _, table := range both {
			table.now = table.now.Add(coldTime)
			table.Expire(time.Minute)
			if table.Digest() != warm {
				t.Errorf("%s: digest %x after the replica is warm, want %x", name, table.Digest(), warm)
			}
		}
	}
}

// TestColdChangesOneBucketDigest has a router whose digests do not include cold states, as in
// earlier versions, fetch differing entries while a replica is cold: it gets only the
// entries of the replica's bucket.
func TestColdChangesOneBucketDigest(t *testing.T) {
	table := newColdTestTable()
	for i := range 140 {
		table.Merge([]Entry{entry(strconv.Itoa(i), 1)})
	}
	table.Merge([]Entry{entry("a", 1)})
	before := table.BucketDigests()
	table.Merge([]Entry{coldEntry(2, 9*second)})
	if n := len(table.DifferingEntries(before)); n == 0 || n > 10 {
		t.Errorf("%d of 141 entries are fetched", n)
	}
}

// TestColdIsReadWithoutLocks guards against requests that block each other when they read
// whether a replica is cold.
func TestColdIsReadWithoutLocks(t *testing.T) {
	table := newColdTestTable()
	table.Merge([]Entry{coldEntry(1, 5*second)})
	r := table.Ready("s")[0]
	r.mu.Lock()
	defer r.mu.Unlock()
	read := make(chan time.Duration, 1)
	var group errgroup.Group
	group.Go(func() error {
		read <- r.ColdRemaining(table.now)
		return nil
	})
	select {
	case got := <-read:
		if got != 5*second {
			t.Errorf("cold for %v, want 5s", got)
		}
	case <-time.After(second):
		t.Error("reading the cold time waits for the lock")
	}
}

// TestNewStartIsCold has replicas start, with and without reporting how long they are cold.
func TestNewStartIsCold(t *testing.T) {
	started := entry("a", 3)
	started.StartedAt = 9
	startWithCold := started
	startWithCold.ColdRemaining, startWithCold.ReportsCold = 5*second, true
	tests := []struct {
		name  string
		offer func(table *testTable)
		want  time.Duration
	}{
		{"known since this router started", func(table *testTable) {
			table.MergeSnapshot(positionAt(2), []Entry{entry("a", 1)}, false)
		}, 0},
		{"added later, known only from another router", func(table *testTable) {
			other := newColdTestTable()
			other.MergeSnapshot(positionAt(2), nil, false)
			table.Merge(other.Merge([]Entry{started}))
		}, 0},
		{"moves to another address, known from another router", func(table *testTable) {
			moved := entry("a", 3)
			moved.Address = "10.9.9.9:80"
			other := newColdTestTable()
			other.Merge([]Entry{entry("a", 1)})
			table.Merge(other.Merge([]Entry{moved}))
		}, 0},
		{"added later", func(table *testTable) {
			table.MergeSnapshot(positionAt(2), nil, false)
			table.Merge([]Entry{started})
		}, coldTime},
		{"restarts", func(table *testTable) {
			table.Merge([]Entry{entry("a", 1)})
			table.Merge([]Entry{started})
		}, coldTime},
		{"restarts and reports a cold time", func(table *testTable) {
			table.Merge([]Entry{entry("a", 1)})
			table.Merge([]Entry{startWithCold})
		}, 5 * second},
		{"restarts, then reports a cold time", func(table *testTable) {
			table.Merge([]Entry{entry("a", 1)})
			table.Merge([]Entry{started})
			later := startWithCold
			later.Revision++
			table.Merge([]Entry{later})
		}, 5 * second},
		{"restarts, known from another router", func(table *testTable) {
			other := newColdTestTable()
			other.Merge([]Entry{entry("a", 1)})
			table.Merge(other.Merge([]Entry{started}))
		}, coldTime},
		{"never cold", func(table *testTable) {
			table.SetColdDuration(func(string) time.Duration { return 0 })
			table.Merge([]Entry{entry("a", 1)})
			table.Merge([]Entry{started})
		}, 0},
	}
	for _, tt := range tests {
		table := newColdTestTable()
		tt.offer(table)
		table.wantCold(t, tt.name, tt.want)
	}
}

// TestColdAfterUnreachable has an unreachable replica become reachable again: it may have
// restarted, unless an entry written after the failure reports otherwise.
func TestColdAfterUnreachable(t *testing.T) {
	tests := []struct {
		name string
		run  func(table *testTable, r *Replica)
		want time.Duration
	}{
		{"not yet reachable again", func(table *testTable, r *Replica) { table.MarkUnreachable(r) }, coldTime},
		{"unreachable for a long time", func(table *testTable, r *Replica) {
			table.MarkUnreachable(r)
			for range 2 * coldTime / second {
				table.now = table.now.Add(second)
				table.ProbeFailed(r)
			}
		}, coldTime},
		{"a later entry before it is reachable again", func(table *testTable, r *Replica) {
			table.MarkUnreachable(r)
			table.now = table.now.Add(staleEntryWindow)
			table.Merge([]Entry{coldEntry(2, second)})
			table.ProbeFailed(r)
		}, second},
		{"reachable again", func(table *testTable, r *Replica) {
			table.MarkUnreachable(r)
			table.MarkReachable(r)
		}, coldTime},
		{"always reachable", func(table *testTable, r *Replica) { table.MarkReachable(r) }, 0},
		{"an earlier entry is read again", func(table *testTable, r *Replica) {
			table.MarkUnreachable(r)
			table.MarkReachable(r)
			table.now = table.now.Add(staleEntryWindow)
			table.Merge([]Entry{coldEntry(1, 0)})
		}, coldTime - staleEntryWindow},
		{"an entry possibly written before the failure", func(table *testTable, r *Replica) {
			table.MarkUnreachable(r)
			table.now = table.now.Add(staleEntryWindow / 2)
			table.Merge([]Entry{coldEntry(2, 0)})
			table.MarkReachable(r)
		}, coldTime},
		{"an entry written after the failure", func(table *testTable, r *Replica) {
			table.MarkUnreachable(r)
			table.now = table.now.Add(staleEntryWindow)
			table.Merge([]Entry{coldEntry(2, second)})
			table.MarkReachable(r)
		}, second},
		{"an entry written after it was reachable again", func(table *testTable, r *Replica) {
			table.MarkUnreachable(r)
			table.MarkReachable(r)
			table.now = table.now.Add(staleEntryWindow)
			table.Merge([]Entry{coldEntry(2, 0)})
		}, 0},
		{"its answer reports another time", func(table *testTable, r *Replica) {
			table.MarkUnreachable(r)
			table.MarkReachable(r)
			r.ReportCold(table.now, 3*second)
		}, 3 * second},
		{"an entry after the answer", func(table *testTable, r *Replica) {
			r.ReportCold(table.now, 3*second)
			table.Merge([]Entry{coldEntry(2, 8*second)})
		}, 8 * second},
	}
	for _, tt := range tests {
		table := newColdTestTable()
		table.Merge([]Entry{coldEntry(1, 0)})
		tt.run(table, table.Ready("s")[0])
		table.wantCold(t, tt.name, tt.want)
	}
}

// TestSuspectedReplicasStayWarm has a zone marked unreachable because of two of its replicas.
// Its other replicas are marked without a failed connection and did not restart, so they
// stay warm when connections to them succeed.
func TestSuspectedReplicasStayWarm(t *testing.T) {
	table := newColdTestTable()
	table.Merge([]Entry{entry("a", 1), entry("b", 1), entry("c", 1), entry("d", 1)})
	table.now = table.now.Add(2 * recentAnswerWindow)
	all := table.Ready("s")
	table.MarkUnreachable(all[0])
	table.MarkUnreachable(all[1])
	table.ProbeFailed(all[2])
	var cold []string
	for _, r := range all {
		if !table.MarkReachable(r) {
			t.Errorf("%s was not marked unreachable", r.ID())
		}
		if r.ColdRemaining(table.now) > 0 {
			cold = append(cold, r.ID())
		}
	}
	if diff := cmp.Diff([]string{"a", "b", "c"}, cold); diff != "" {
		t.Errorf("cold (-want +got):\n%s", diff)
	}
}

// TestZoneIsColdAfterEvacuation guards against a zone that gets its full load at once when its
// evacuation ends: its replicas are cold until an entry written since then reports otherwise.
func TestZoneIsColdAfterEvacuation(t *testing.T) {
	later := coldEntry(2, second)
	later.Epoch, later.Seq = 1, 1
	tests := []struct {
		name   string
		zone   string
		since  peridotusher.Position
		offers []Entry
		want   time.Duration
	}{
		{"no entry written since", "z", positionAt(50), nil, coldTime},
		{"another zone", "y", positionAt(50), nil, 0},
		{"an earlier entry arrives late", "z", positionAt(50), []Entry{coldEntry(40, 0)}, coldTime},
		{"an entry written since", "z", positionAt(50), []Entry{coldEntry(51, 0)}, 0},
		{"an entry written since without a cold time", "z", positionAt(50), []Entry{entry("a", 51)}, coldTime},
		{"an entry written since was merged before", "z", positionAt(0), nil, 0},
		{"an entry of a later epoch", "z", positionAt(50), []Entry{later}, second},
		{
			"an entry of an earlier epoch", "z", peridotusher.Position{Epoch: 1, Revision: 1},
			[]Entry{coldEntry(51, 0)}, coldTime,
		},
	}
	for _, tt := range tests {
		table := newColdTestTable()
		table.Merge([]Entry{coldEntry(1, 0)})
		table.MergeEvacuations([]Evacuation{{
			Zone: tt.zone, Active: true, Epoch: tt.since.Epoch, Revision: tt.since.Revision - 1,
		}})
		table.MergeEvacuations([]Evacuation{{Zone: tt.zone, Epoch: tt.since.Epoch, Revision: tt.since.Revision}})
		table.Merge(tt.offers)
		table.wantCold(t, tt.name, tt.want)
	}
}
