package replicas

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// in returns an entry of an epoch with what the replica itself reports.
func in(epoch, revision, startedAt, seq int64, is ...func(*Entry)) Entry {
	e := entry("a", revision)
	e.Epoch, e.StartedAt, e.Seq = epoch, startedAt, seq
	for _, f := range is {
		f(&e)
	}
	return e
}

func leaving(e *Entry) { e.Leaving = true }
func gone(e *Entry)    { e.Gone = true }
func said(e *Entry)    { e.Announced, e.Leaving = true, true }

// TestEpochs has routers receive entries of a replica from two epochs of the store, the
// second of which began with a copy up to revision 50, in both orders.
func TestEpochs(t *testing.T) {
	const base = 50
	tests := []struct {
		name          string
		before, after Entry
		usable        bool
		seq           int64
	}{
		{"ready before and in the copy", in(1, 90, 1, 4), in(2, 40, 1, 3), true, 4},
		{"leaving, the copy does not know it", in(1, 90, 1, 4, leaving), in(2, 40, 1, 3), false, 4},
		{"gone, the copy does not know it", in(1, 90, 1, 3, gone), in(2, 40, 1, 3), false, 3},
		{"leaving, written again", in(1, 90, 1, 4, leaving), in(2, 60, 1, 5, leaving), false, 5},
		{"leaving, then ready again since", in(1, 90, 1, 4, leaving), in(2, 60, 1, 5), true, 5},
		{"leaving, it has started again since", in(1, 90, 1, 4, leaving), in(2, 60, 2, 1), true, 1},
		{"gone, back in the same start", in(1, 90, 1, 4, gone), in(2, 60, 1, 9), true, 9},
		{"gone, started again at a revision of the copy", in(1, 90, 1, 4, gone), in(2, 45, 2, 1), true, 1},
		{"started again, the copy knows the start before", in(1, 90, 2, 1), in(2, 40, 1, 8), true, 1},
		{"gone since", in(1, 90, 1, 4), in(2, 60, 1, 4, gone), false, 4},
		{"left by its word, ready in the copy", in(1, 30, 1, 4, said), in(2, 60, 1, 5), false, 5},
		{"left by its word, started again", in(1, 30, 1, 4, said), in(2, 60, 2, 1), true, 1},
		{"without seq, leaving", in(1, 90, 1, 0, leaving), in(2, 40, 1, 0), false, 0},
		{"without seq, written again", in(1, 90, 1, 0, leaving), in(2, 60, 1, 0), true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var known []Entry
			for _, order := range [][]Entry{{tt.before, tt.after}, {tt.after, tt.before}} {
				b := newBed()
				b.SetEpoch(2, base)
				for _, e := range order {
					b.Offer([]Entry{e})
					b.Offer([]Entry{e})
				}
				if got := len(b.Ready("s")) == 1; got != tt.usable {
					t.Errorf("usable %v, want %v", got, tt.usable)
				}
				known = append(known, b.records["a"].entry)
			}
			if diff := cmp.Diff(known[0], known[1]); diff != "" {
				t.Errorf("the order counts (-one +other):\n%s", diff)
			}
			if known[0].Seq != tt.seq {
				t.Errorf("seq = %d, want %d", known[0].Seq, tt.seq)
			}
		})
	}
}

// TestRoutersAgree has many routers receive the same history of a replica over two copies of
// the store, each in an order of its own and some of it twice: in the end all agree on
// whether it may be used.
func TestRoutersAgree(t *testing.T) {
	const seeds, routers = 300, 4
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		history, base := playHistory(rnd)
		var usable []bool
		for range routers {
			b := newBed()
			b.SetEpoch(3, base)
			for _, i := range append(rnd.Perm(len(history)), rnd.Perm(len(history))...) {
				b.Offer([]Entry{history[i]})
			}
			usable = append(usable, len(b.Ready("s")) == 1)
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

// playHistory returns the entries of a replica in three epochs of the store, the last entry
// written in the last epoch, and the revision with which that began.
func playHistory(rnd *rand.Rand) (history []Entry, base int64) {
	revision, startedAt, seq := int64(10), int64(1), int64(1)
	for epoch := int64(1); epoch <= 3; epoch++ {
		if n := len(history); n > 0 {
			// The copy holds one of the entries before.
			copied := history[rnd.IntN(n)]
			revision = copied.Revision + int64(rnd.IntN(5))
			base = revision
			copied.Epoch = epoch
			if !copied.Gone {
				history = append(history, copied)
			}
		}
		for range 1 + rnd.IntN(3) {
			revision += 1 + int64(rnd.IntN(5))
			seq++
			if rnd.IntN(4) == 0 {
				startedAt, seq = startedAt+1, 1
			}
			e := in(epoch, revision, startedAt, seq)
			e.Leaving = rnd.IntN(3) == 0
			history = append(history, e)
		}
	}
	return history, base
}

// TestCopyOfTheList has a list that is a copy: replicas that it lacks have time to write
// their entries again, and those that were known to be gone are not used.
func TestCopyOfTheList(t *testing.T) {
	b := newBed()
	position := func(epoch, revision int64) peridotusher.Position {
		return peridotusher.Position{Epoch: epoch, Revision: revision}
	}
	x, y := entry("x", 4), entry("y", 60)
	b.SetEpoch(0, 1)
	b.Snapshot(position(0, 70), []Entry{x, y}, false)
	b.Snapshot(position(0, 80), []Entry{y}, false)
	copied := x
	copied.Epoch = 1
	b.SetEpoch(1, 50)
	b.Snapshot(position(1, 50), []Entry{copied}, true)
	if diff := cmp.Diff([]string{"y"}, ids(b.Ready("s"))); diff != "" {
		t.Errorf("ready after the copy (-want +got):\n%s", diff)
	}
	b.Snapshot(position(1, 55), []Entry{copied}, false)
	if got := ids(b.Ready("s")); len(got) > 0 {
		t.Errorf("%v are ready, which were not written again", got)
	}
	y.Epoch, y.Revision, y.Seq = 1, 58, 2
	b.Snapshot(position(1, 58), []Entry{y}, false)
	if diff := cmp.Diff([]string{"y"}, ids(b.Ready("s"))); diff != "" {
		t.Errorf("ready after it was written again (-want +got):\n%s", diff)
	}
}

// TestGoneIsRemembered has a router learn of a replica only that it is gone, and then get
// a copy of the store in which it is ready.
func TestGoneIsRemembered(t *testing.T) {
	b := newBed()
	if changed := b.Offer([]Entry{in(1, 90, 1, 4, gone)}); len(changed) > 0 {
		t.Errorf("changes for an unknown replica that is gone: %v", changed)
	}
	if recent := b.Recent(10, time.Minute); len(recent) > 0 {
		t.Errorf("it is published: %v", recent)
	}
	b.SetEpoch(2, 50)
	b.Offer([]Entry{in(2, 40, 1, 4)})
	if got := ids(b.Ready("s")); len(got) > 0 {
		t.Errorf("%v are ready", got)
	}
}

// TestLeave has a replica announce that it leaves.
func TestLeave(t *testing.T) {
	b := newBed()
	b.Offer([]Entry{in(0, 5, 1, 1)})
	r := b.Ready("s")[0]
	ttl := b.MarkLeaving(r)
	if len(ttl) != 1 || !ttl[0].Announced || len(b.Ready("s")) != 0 {
		t.Fatalf("published %v, %d ready", ttl, len(b.Ready("s")))
	}
	if again := b.MarkLeaving(r); len(again) > 0 {
		t.Errorf("published again: %v", again)
	}
	if _, ok := b.Source(r.Hash()); !ok {
		t.Error("its parts cannot be fetched any more")
	}
	b.Offer([]Entry{in(0, 6, 1, 2)})
	if len(b.Ready("s")) != 0 {
		t.Error("an entry of the same start made it ready")
	}
	// Another router receives it with an entry as old as its own, or older.
	other := newBed()
	other.Offer([]Entry{in(0, 6, 1, 2)})
	if changed := other.Offer(ttl); len(changed) != 1 || len(other.Ready("s")) != 0 {
		t.Errorf("another router: changed %v, %d ready", changed, len(other.Ready("s")))
	}
	for _, bed := range []*bed{b, other} {
		bed.Offer([]Entry{in(0, 9, 2, 1)})
		if len(bed.Ready("s")) != 1 {
			t.Error("its next start is not used")
		}
		if changed := bed.Offer(ttl); len(changed) > 0 {
			t.Errorf("the announcement of the start before counts for the next: %v", changed)
		}
	}
}
