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

// coldBed is a bed in which replicas are cold for coldTime after their start.
func coldBed() *bed {
	b := newBed()
	b.SetColdFor(func(string) time.Duration { return coldTime })
	return b
}

// tells returns an entry of replica a with a cold time.
func tells(revision int64, cold time.Duration) Entry {
	e := entry("a", revision)
	e.Cold, e.ReportsCold = cold, true
	return e
}

func (b *bed) wantCold(t *testing.T, step string, want time.Duration) {
	t.Helper()
	if diff := cmp.Diff(want, b.Ready("s")[0].ColdFor(b.now)); diff != "" {
		t.Errorf("%s: cold for (-want +got):\n%s", step, diff)
	}
}

// TestColdEntriesInAnyOrder offers entries with cold states in all orders, and each twice:
// the later revision wins.
func TestColdEntriesInAnyOrder(t *testing.T) {
	entries := []Entry{tells(2, 30*second), tells(3, 0), tells(4, 9*second), entry("a", 5)}
	orders := [][]int{{0, 1, 2, 3}, {2, 1, 0, 3}, {1, 2, 0, 3}, {3, 2, 1, 0}, {0, 2, 2, 1, 0}}
	want := []time.Duration{9 * second, 9 * second, 9 * second, 0, 9 * second}
	for i, order := range orders {
		b := coldBed()
		b.Offer([]Entry{entry("a", 1)})
		for _, n := range order {
			b.Offer([]Entry{entries[n]})
			b.Offer([]Entry{entries[n]})
		}
		b.wantCold(t, string(rune('0'+i)), want[i])
	}
}

// TestColdTimeGoesBy has an entry be read and received again: the remaining time counts from
// when it was read first, and is published to others as what remains then.
func TestColdTimeGoesBy(t *testing.T) {
	b := coldBed()
	b.Offer([]Entry{tells(2, 9*second)})
	b.now = b.now.Add(4 * second)
	b.Offer([]Entry{tells(2, 9*second)})
	b.wantCold(t, "read again", 5*second)
	if diff := cmp.Diff([]Entry{tells(2, 5*second)}, b.Recent(1, time.Minute)); diff != "" {
		t.Errorf("published to others (-want +got):\n%s", diff)
	}
	b.Offer([]Entry{tells(2, 3*second)}) // as reported by a router that read it earlier
	b.wantCold(t, "known better", 3*second)
	moved := entry("a", 3)
	moved.Zone = "other"
	b.Offer([]Entry{moved})
	b.wantCold(t, "a change that tells nothing of it", 3*second)
	b.Offer([]Entry{tells(4, time.Hour)})
	b.wantCold(t, "too long", MaxCold)
	b.Offer([]Entry{tells(5, -second)})
	b.wantCold(t, "negative", 0)
}

// TestColdNews has a replica become cold and warm while its entry is written each second:
// only what others cannot count themselves is published.
func TestColdNews(t *testing.T) {
	b := coldBed()
	b.Offer([]Entry{tells(1, 0)})
	steps := []struct {
		cold time.Duration
		want bool
	}{
		{0, false}, {20 * second, true}, {19 * second, false}, {18*second + 300*time.Millisecond, false}, {16600 * time.Millisecond, false},
		{25 * second, true}, {24 * second, false}, {0, true}, {0, false}, {0, false}, {500 * time.Millisecond, true}, {0, false},
	}
	for i, s := range steps {
		b.now = b.now.Add(second)
		if got := len(b.Offer([]Entry{tells(int64(i+2), s.cold)})) == 1; got != s.want {
			t.Errorf("step %d, cold for %v: published = %v, want %v", i, s.cold, got, s.want)
		}
	}
}

// TestColdIsNoNewsWithoutARate guards against traffic between routers for a service whose
// replicas report cold times that nothing depends on.
func TestColdIsNoNewsWithoutARate(t *testing.T) {
	b := coldBed()
	b.SetColdFor(func(string) time.Duration { return 0 })
	b.Offer([]Entry{tells(1, 0)})
	digest := b.Digest()
	for i, cold := range []time.Duration{20 * second, 0, 5 * second} {
		if changed := b.Offer([]Entry{tells(int64(i+2), cold)}); len(changed) != 0 {
			t.Errorf("cold for %v: published: %v", cold, changed)
		}
		if got := b.Digest(); got != digest {
			t.Errorf("cold for %v: another digest", cold)
		}
	}
}

// TestColdIsReportedAfterARewrite guards against a router that never learns of a cold state
// since the entry was written again without it.
func TestColdIsReportedAfterARewrite(t *testing.T) {
	reader, late := coldBed(), coldBed()
	late.Offer([]Entry{entry("a", 1)})
	reader.Offer([]Entry{tells(2, 9*second)})
	rewritten := entry("a", 3)
	rewritten.Zone = "other"
	late.Offer(reader.Offer([]Entry{rewritten}))
	late.wantCold(t, "told on", 9*second)
	reader.Evacuate([]Evacuation{{Zone: "other", Active: true, Revision: 4}})
	reader.Evacuate([]Evacuation{{Zone: "other", Revision: 5}})
	rewritten.Revision, rewritten.Zone = 6, "z"
	if got := reader.Offer([]Entry{rewritten}); got[0].ReportsCold {
		t.Errorf("published after the evacuation ended, which overrides what others assume: %+v", got)
	}
	reader.now = reader.now.Add(9 * second)
	if got := reader.Recent(1, time.Minute); got[0].ReportsCold {
		t.Errorf("warm again, published: %+v", got)
	}
}

// TestMissedColdIsFetched guards against a router that missed the heartbeats with a cold
// state and never learns of it: its digests differ as long as the replica is cold.
func TestMissedColdIsFetched(t *testing.T) {
	started := entry("a", 2)
	started.StartedAt = 9
	for name, change := range map[string]Entry{"cold again": tells(2, 9*second), "started again": started} {
		reader, late := coldBed(), coldBed()
		both := []*bed{reader, late}
		for _, b := range both {
			b.Offer([]Entry{entry("a", 1), entry("b", 1)})
		}
		warm := reader.Digest()
		reader.Offer([]Entry{change})
		if reader.Digest() == late.Digest() {
			t.Errorf("%s: a router that missed it has the same digest", name)
		}
		late.Offer(reader.Differing(late.Parts()))
		late.wantCold(t, name, reader.Ready("s")[0].ColdFor(reader.now))
		for i := int64(3); i < 6; i++ { // written again, which only the reader sees
			reader.now, late.now = reader.now.Add(second), late.now.Add(second)
			again := change
			again.Revision, again.ReportsCold, again.Cold = i, true, reader.Ready("s")[0].ColdFor(reader.now)
			reader.Offer([]Entry{again})
			if reader.Digest() != late.Digest() || reader.Digest() == warm {
				t.Errorf("%s, revision %d: digests %x and %x, warm %x", name, i, reader.Digest(), late.Digest(), warm)
			}
		}
		for _, b := range both {
			b.now = b.now.Add(coldTime)
			b.Expire(time.Minute)
			if b.Digest() != warm {
				t.Errorf("%s: digest %x after it is warm, want %x", name, b.Digest(), warm)
			}
		}
	}
}

// TestColdDigestsCostLittle has a router whose digests leave out cold states, as in earlier
// versions, fetch while a replica is cold: it gets the replica's part of the table only.
func TestColdDigestsCostLittle(t *testing.T) {
	b := coldBed()
	for i := range 140 {
		b.Offer([]Entry{entry(strconv.Itoa(i), 1)})
	}
	b.Offer([]Entry{entry("a", 1)})
	before := b.Parts()
	b.Offer([]Entry{tells(2, 9*second)})
	if n := len(b.Differing(before)); n == 0 || n > 10 {
		t.Errorf("%d of 141 entries are fetched", n)
	}
}

// TestColdIsReadWithoutLocks guards against requests that wait for each other only to read
// whether a replica is cold.
func TestColdIsReadWithoutLocks(t *testing.T) {
	b := coldBed()
	b.Offer([]Entry{tells(1, 5*second)})
	r := b.Ready("s")[0]
	r.mu.Lock()
	defer r.mu.Unlock()
	read := make(chan time.Duration, 1)
	var group errgroup.Group
	group.Go(func() error {
		read <- r.ColdFor(b.now)
		return nil
	})
	select {
	case got := <-read:
		if got != 5*second {
			t.Errorf("cold for %v, want 5s", got)
		}
	case <-time.After(second):
		t.Error("the time waits for the lock")
	}
}

// TestNewStartIsCold has replicas start that report for how long they are cold, or do not.
func TestNewStartIsCold(t *testing.T) {
	started := entry("a", 3)
	started.StartedAt = 9
	toldStart := started
	toldStart.Cold, toldStart.ReportsCold = 5*second, true
	tests := []struct {
		name  string
		offer func(b *bed)
		want  time.Duration
	}{
		{"known since this router started", func(b *bed) { b.Snapshot(at(2), []Entry{entry("a", 1)}, false) }, 0},
		{"comes later by the list of another router alone", func(b *bed) {
			other := coldBed()
			other.Snapshot(at(2), nil, false)
			b.Offer(other.Offer([]Entry{started}))
		}, 0},
		{"returns at another address, and another router hears of it", func(b *bed) {
			moved := entry("a", 3)
			moved.Address = "10.9.9.9:80"
			other := coldBed()
			other.Offer([]Entry{entry("a", 1)})
			b.Offer(other.Offer([]Entry{moved}))
		}, 0},
		{"comes later", func(b *bed) { b.Snapshot(at(2), nil, false); b.Offer([]Entry{started}) }, coldTime},
		{"starts again", func(b *bed) { b.Offer([]Entry{entry("a", 1)}); b.Offer([]Entry{started}) }, coldTime},
		{"starts again and tells", func(b *bed) { b.Offer([]Entry{entry("a", 1)}); b.Offer([]Entry{toldStart}) }, 5 * second},
		{"starts again, then tells", func(b *bed) {
			b.Offer([]Entry{entry("a", 1)})
			b.Offer([]Entry{started})
			later := toldStart
			later.Revision++
			b.Offer([]Entry{later})
		}, 5 * second},
		{"starts again, and another router hears of it", func(b *bed) {
			other := coldBed()
			other.Offer([]Entry{entry("a", 1)})
			b.Offer(other.Offer([]Entry{started}))
		}, coldTime},
		{"never cold", func(b *bed) {
			b.SetColdFor(func(string) time.Duration { return 0 })
			b.Offer([]Entry{entry("a", 1)})
			b.Offer([]Entry{started})
		}, 0},
	}
	for _, tt := range tests {
		b := coldBed()
		tt.offer(b)
		b.wantCold(t, tt.name, tt.want)
	}
}

// TestColdAfterALoss has an unreachable replica become reachable again: it may have
// restarted, unless an entry written after the failure reports otherwise.
func TestColdAfterALoss(t *testing.T) {
	tests := []struct {
		name string
		play func(b *bed, r *Replica)
		want time.Duration
	}{
		{"not reached again yet", func(b *bed, r *Replica) { b.MarkUnreachable(r) }, coldTime},
		{"not reached again for long", func(b *bed, r *Replica) {
			b.MarkUnreachable(r)
			for range 2 * coldTime / second {
				b.now = b.now.Add(second)
				b.ProbeFailed(r)
			}
		}, coldTime},
		{"an entry says otherwise before it is reached again", func(b *bed, r *Replica) {
			b.MarkUnreachable(r)
			b.now = b.now.Add(failureSettle)
			b.Offer([]Entry{tells(2, second)})
			b.ProbeFailed(r)
		}, second},
		{"reached again", func(b *bed, r *Replica) { b.MarkUnreachable(r); b.MarkReachable(r) }, coldTime},
		{"reached all the time", func(b *bed, r *Replica) { b.MarkReachable(r) }, 0},
		{"read again", func(b *bed, r *Replica) {
			b.MarkUnreachable(r)
			b.MarkReachable(r)
			b.now = b.now.Add(failureSettle)
			b.Offer([]Entry{tells(1, 0)})
		}, coldTime - failureSettle},
		{"maybe written before the loss", func(b *bed, r *Replica) {
			b.MarkUnreachable(r)
			b.now = b.now.Add(failureSettle / 2)
			b.Offer([]Entry{tells(2, 0)})
			b.MarkReachable(r)
		}, coldTime},
		{"written after the loss", func(b *bed, r *Replica) {
			b.MarkUnreachable(r)
			b.now = b.now.Add(failureSettle)
			b.Offer([]Entry{tells(2, second)})
			b.MarkReachable(r)
		}, second},
		{"written after it was reached again", func(b *bed, r *Replica) {
			b.MarkUnreachable(r)
			b.MarkReachable(r)
			b.now = b.now.Add(failureSettle)
			b.Offer([]Entry{tells(2, 0)})
		}, 0},
		{"its answer says otherwise", func(b *bed, r *Replica) {
			b.MarkUnreachable(r)
			b.MarkReachable(r)
			r.ReportCold(b.now, 3*second)
		}, 3 * second},
		{"an entry follows the answer", func(b *bed, r *Replica) {
			r.ReportCold(b.now, 3*second)
			b.Offer([]Entry{tells(2, 8*second)})
		}, 8 * second},
	}
	for _, tt := range tests {
		b := coldBed()
		b.Offer([]Entry{tells(1, 0)})
		tt.play(b, b.Ready("s")[0])
		b.wantCold(t, tt.name, tt.want)
	}
}

// TestSuspectedReplicasStayWarm has a zone marked unreachable for two of its replicas: the
// others, to which connections succeed at once, have not restarted.
func TestSuspectedReplicasStayWarm(t *testing.T) {
	b := coldBed()
	b.Offer([]Entry{entry("a", 1), entry("b", 1), entry("c", 1), entry("d", 1)})
	b.now = b.now.Add(2 * answeredRecently)
	all := b.Ready("s")
	b.MarkUnreachable(all[0])
	b.MarkUnreachable(all[1])
	b.ProbeFailed(all[2])
	var cold []string
	for _, r := range all {
		if !b.MarkReachable(r) {
			t.Errorf("%s was not marked unreachable", r.ID())
		}
		if r.ColdFor(b.now) > 0 {
			cold = append(cold, r.ID())
		}
	}
	if diff := cmp.Diff([]string{"a", "b", "c"}, cold); diff != "" {
		t.Errorf("cold (-want +got):\n%s", diff)
	}
}

// TestReturnedZoneIsCold guards against a zone that gets its whole load at once when its
// evacuation ends: its replicas are cold until an entry written since reports otherwise.
func TestReturnedZoneIsCold(t *testing.T) {
	later := tells(2, second)
	later.Epoch, later.Seq = 1, 1
	tests := []struct {
		name   string
		zone   string
		since  peridotusher.Position
		offers []Entry
		want   time.Duration
	}{
		{"nothing was written since", "z", at(50), nil, coldTime},
		{"another zone", "y", at(50), nil, 0},
		{"an earlier entry comes late", "z", at(50), []Entry{tells(40, 0)}, coldTime},
		{"an entry written since", "z", at(50), []Entry{tells(51, 0)}, 0},
		{"an entry written since that says nothing of it", "z", at(50), []Entry{entry("a", 51)}, coldTime},
		{"an entry was written since before the call", "z", at(0), nil, 0},
		{"an entry of a later epoch", "z", at(50), []Entry{later}, second},
		{"an entry of an earlier epoch", "z", peridotusher.Position{Epoch: 1, Revision: 1}, []Entry{tells(51, 0)}, coldTime},
	}
	for _, tt := range tests {
		b := coldBed()
		b.Offer([]Entry{tells(1, 0)})
		b.Evacuate([]Evacuation{{Zone: tt.zone, Active: true, Epoch: tt.since.Epoch, Revision: tt.since.Revision - 1}})
		b.Evacuate([]Evacuation{{Zone: tt.zone, Epoch: tt.since.Epoch, Revision: tt.since.Revision}})
		b.Offer(tt.offers)
		b.wantCold(t, tt.name, tt.want)
	}
}
