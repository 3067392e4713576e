package replicas

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// entryIn returns an entry of an epoch with the start time and Seq that the replica reports.
func entryIn(epoch, revision, startedAt, seq int64, modify ...func(*Entry)) Entry {
	e := entry("a", revision)
	e.Epoch, e.StartedAt, e.Seq = epoch, startedAt, seq
	for _, f := range modify {
		f(&e)
	}
	return e
}

func leaving(e *Entry)   { e.Leaving = true }
func removed(e *Entry)   { e.Removed = true }
func announced(e *Entry) { e.LeavingAnnounced, e.Leaving = true, true }

// TestMergeAcrossEpochs merges entries of a replica from two epochs of the store in both
// orders. The second epoch began with a backup up to revision 50.
func TestMergeAcrossEpochs(t *testing.T) {
	const base = 50
	tests := []struct {
		name          string
		before, after Entry
		usable        bool
		seq           int64
	}{
		{"ready before and in the backup", entryIn(1, 90, 1, 4), entryIn(2, 40, 1, 3), true, 4},
		{"leaving, not in the backup", entryIn(1, 90, 1, 4, leaving), entryIn(2, 40, 1, 3), false, 4},
		{"removed, not in the backup", entryIn(1, 90, 1, 3, removed), entryIn(2, 40, 1, 3), false, 3},
		{"leaving, written again", entryIn(1, 90, 1, 4, leaving), entryIn(2, 60, 1, 5, leaving), false, 5},
		{"leaving, ready again since", entryIn(1, 90, 1, 4, leaving), entryIn(2, 60, 1, 5), true, 5},
		{"leaving, restarted since", entryIn(1, 90, 1, 4, leaving), entryIn(2, 60, 2, 1), true, 1},
		{"removed, written again in the same start", entryIn(1, 90, 1, 4, removed), entryIn(2, 60, 1, 9), true, 9},
		{"removed, restarted before the restore", entryIn(1, 90, 1, 4, removed), entryIn(2, 45, 2, 1), true, 1},
		{"restarted, the earlier start in the backup", entryIn(1, 90, 2, 1), entryIn(2, 40, 1, 8), true, 1},
		{"removed since", entryIn(1, 90, 1, 4), entryIn(2, 60, 1, 4, removed), false, 4},
		{"announced leaving, ready since", entryIn(1, 30, 1, 4, announced), entryIn(2, 60, 1, 5), false, 5},
		{"announced leaving, restarted since", entryIn(1, 30, 1, 4, announced), entryIn(2, 60, 2, 1), true, 1},
		{"without seq, leaving", entryIn(1, 90, 1, 0, leaving), entryIn(2, 40, 1, 0), false, 0},
		{"without seq, written again", entryIn(1, 90, 1, 0, leaving), entryIn(2, 60, 1, 0), true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var known []Entry
			for _, order := range [][]Entry{{tt.before, tt.after}, {tt.after, tt.before}} {
				table := newTestTable()
				table.SetEpoch(2, base)
				for _, e := range order {
					table.Merge([]Entry{e})
					table.Merge([]Entry{e})
				}
				if got := len(table.Ready("s")) == 1; got != tt.usable {
					t.Errorf("usable %v, want %v", got, tt.usable)
				}
				known = append(known, table.records["a"].entry)
			}
			if diff := cmp.Diff(known[0], known[1]); diff != "" {
				t.Errorf("the result depends on the order (-one +other):\n%s", diff)
			}
			if known[0].Seq != tt.seq {
				t.Errorf("seq = %d, want %d", known[0].Seq, tt.seq)
			}
		})
	}
}

// TestRoutersAgree has routers receive the same history of a replica across two restores of
// the store, each router in a random order and everything twice: in the end all agree on
// whether the replica is usable.
func TestRoutersAgree(t *testing.T) {
	const seeds, routers = 300, 4
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		history, base := randomHistory(rnd)
		var usable []bool
		for range routers {
			table := newTestTable()
			table.SetEpoch(3, base)
			for _, i := range append(rnd.Perm(len(history)), rnd.Perm(len(history))...) {
				table.Merge([]Entry{history[i]})
			}
			usable = append(usable, len(table.Ready("s")) == 1)
		}
		for _, u := range usable[1:] {
			if u != usable[0] {
				t.Fatalf("seed %d: usable %v after %+v", seed, usable, history)
			}
		}
		if last := history[len(history)-1]; usable[0] != last.Usable() {
			t.Errorf("seed %d: usable %v after %+v", seed, usable[0], history)
		}
	}
}

// randomHistory returns the entries of a replica in three epochs of the store, ending with an
// entry that was written in the last epoch, and the revision at which that epoch began.
func randomHistory(rnd *rand.Rand) (history []Entry, base int64) {
	revision, startedAt, seq := int64(10), int64(1), int64(1)
	for epoch := int64(1); epoch <= 3; epoch++ {
		if n := len(history); n > 0 {
			// The backup holds one of the earlier entries.
			copied := history[rnd.IntN(n)]
			revision = copied.Revision + int64(rnd.IntN(5))
			base = revision
			copied.Epoch = epoch
			if !copied.Removed {
				history = append(history, copied)
			}
		}
		for range 1 + rnd.IntN(3) {
			revision += 1 + int64(rnd.IntN(5))
			seq++
			if rnd.IntN(4) == 0 {
				startedAt, seq = startedAt+1, 1
			}
			e := entryIn(epoch, revision, startedAt, seq)
			e.Leaving = rnd.IntN(3) == 0
			history = append(history, e)
		}
	}
	return history, base
}

// TestSnapshotAfterRestore merges a list of a store that was restored from a backup: replicas
// missing from it have time to write their entries again, and replicas that were known to be
// removed are not used.
func TestSnapshotAfterRestore(t *testing.T) {
	table := newTestTable()
	position := func(epoch, revision int64) peridotusher.Position {
		return peridotusher.Position{Epoch: epoch, Revision: revision}
	}
	x, y := entry("x", 4), entry("y", 60)
	table.SetEpoch(0, 1)
	table.MergeSnapshot(position(0, 70), []Entry{x, y}, false)
	table.MergeSnapshot(position(0, 80), []Entry{y}, false)
	copied := x
	copied.Epoch = 1
	table.SetEpoch(1, 50)
	table.MergeSnapshot(position(1, 50), []Entry{copied}, true)
	if diff := cmp.Diff([]string{"y"}, ids(table.Ready("s"))); diff != "" {
		t.Errorf("ready after the restore (-want +got):\n%s", diff)
	}
	table.MergeSnapshot(position(1, 55), []Entry{copied}, false)
	if got := ids(table.Ready("s")); len(got) > 0 {
		t.Errorf("%v are ready, though they were not written again", got)
	}
	y.Epoch, y.Revision, y.Seq = 1, 58, 2
	table.MergeSnapshot(position(1, 58), []Entry{y}, false)
	if diff := cmp.Diff([]string{"y"}, ids(table.Ready("s"))); diff != "" {
		t.Errorf("ready after y was written again (-want +got):\n%s", diff)
	}
}

// TestRemovalIsRemembered has a router receive only the removal of a replica, and then an entry
// of a store restored from a backup in which the replica is ready.
func TestRemovalIsRemembered(t *testing.T) {
	table := newTestTable()
	if changed := table.Merge([]Entry{entryIn(1, 90, 1, 4, removed)}); len(changed) > 0 {
		t.Errorf("changes for an unknown replica that is removed: %v", changed)
	}
	if recent := table.RecentChanges(10, time.Minute); len(recent) > 0 {
		t.Errorf("the removal is published: %v", recent)
	}
	table.SetEpoch(2, 50)
	table.Merge([]Entry{entryIn(2, 40, 1, 4)})
	if got := ids(table.Ready("s")); len(got) > 0 {
		t.Errorf("%v are ready", got)
	}
}

// TestAnnouncedLeaving has a replica announce that it is leaving: neither this
// router nor another one uses it until it restarts.
func TestAnnouncedLeaving(t *testing.T) {
	table := newTestTable()
	table.Merge([]Entry{entryIn(0, 5, 1, 1)})
	r := table.Ready("s")[0]
	published := table.MarkLeaving(r)
	if len(published) != 1 || !published[0].LeavingAnnounced || len(table.Ready("s")) != 0 {
		t.Fatalf("published %v, %d ready", published, len(table.Ready("s")))
	}
	if again := table.MarkLeaving(r); len(again) > 0 {
		t.Errorf("published again: %v", again)
	}
	if _, ok := table.Source(r.Hash()); !ok {
		t.Error("its cached parts cannot be fetched any more")
	}
	table.Merge([]Entry{entryIn(0, 6, 1, 2)})
	if len(table.Ready("s")) != 0 {
		t.Error("an entry of the same start made it ready")
	}
	// Another router receives the announcement with an entry that is not newer than its own.
	other := newTestTable()
	other.Merge([]Entry{entryIn(0, 6, 1, 2)})
	if changed := other.Merge(published); len(changed) != 1 || len(other.Ready("s")) != 0 {
		t.Errorf("another router: changed %v, %d ready", changed, len(other.Ready("s")))
	}
	for _, router := range []*testTable{table, other} {
		router.Merge([]Entry{entryIn(0, 9, 2, 1)})
		if len(router.Ready("s")) != 1 {
			t.Error("it is not used after its restart")
		}
		if changed := router.Merge(published); len(changed) > 0 {
			t.Errorf("the announcement of the previous start applies after the restart: %v", changed)
		}
	}
}
