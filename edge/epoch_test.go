package edge

import (
	"testing"

	"peridotusher.example/peridotusher"
)

// TestEpochTracker records positions that a router read from the store or received from others.
func TestEpochTracker(t *testing.T) {
	at := func(epoch, revision int64) peridotusher.Position {
		return peridotusher.Position{Epoch: epoch, Revision: revision}
	}
	type step struct {
		at                     peridotusher.Position
		fromPeer               bool
		newEpoch, old, changed bool
	}
	tests := []struct {
		name  string
		steps []step
		want  peridotusher.Position
	}{
		{"first read", []step{{at(2, 40), false, false, false, true}}, at(2, 40)},
		{"peer knows no epoch", []step{{at(0, 0), true, false, false, false}}, at(0, 0)},
		{"store that was never restored", []step{{at(0, 9), false, false, false, true}, {at(0, 0), true, false, false, false}}, at(0, 9)},
		{"later revisions", []step{{at(2, 40), false, false, false, true}, {at(2, 50), false, false, false, false}}, at(2, 40)},
		{"lower revision reported by a peer", []step{{at(2, 40), false, false, false, true}, {at(2, 30), true, false, false, true}}, at(2, 30)},
		{"next epoch", []step{{at(2, 40), false, false, false, true}, {at(3, 20), false, true, false, true}}, at(3, 20)},
		{"next epoch reported, then read", []step{
			{at(2, 40), false, false, false, true}, {at(3, 0), true, true, false, true}, {at(3, 25), false, false, false, true},
		}, at(3, 25)},
		{"response of the previous epoch", []step{{at(3, 40), false, false, false, true}, {at(2, 90), false, false, true, false}}, at(3, 40)},
		{"peer does not know the epoch yet", []step{{at(3, 40), false, false, false, true}, {at(0, 0), true, false, true, false}}, at(3, 40)},
		{"two epochs later", []step{{at(2, 40), false, false, false, true}, {at(4, 20), true, true, false, true}}, at(4, 20)},
		{"implausible epoch reported", []step{{at(2, 40), false, false, false, true}, {at(1<<60, 20), true, false, true, false}}, at(2, 40)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e epochTracker
			for i, s := range tt.steps {
				newEpoch, old, changed := e.record(s.at, s.fromPeer)
				if newEpoch != s.newEpoch || old != s.old || changed != s.changed {
					t.Errorf("step %d: new epoch %v, old %v, changed %v", i, newEpoch, old, changed)
				}
			}
			if got := e.position(); got != tt.want {
				t.Errorf("store at %v, want %v", got, tt.want)
			}
		})
	}
}

// TestWatchEndsOnNewEpoch checks that a new epoch cancels a watch of the configuration.
func TestWatchEndsOnNewEpoch(t *testing.T) {
	var e epochTracker
	e.record(peridotusher.Position{Epoch: 1, Revision: 5}, false)
	ctx, leave := e.watchContext(t.Context())
	defer leave(nil)
	e.record(peridotusher.Position{Epoch: 1, Revision: 9}, false)
	if ctx.Err() != nil {
		t.Fatal("a change in the same epoch ends the watch")
	}
	e.record(peridotusher.Position{Epoch: 2}, true)
	if ctx.Err() == nil {
		t.Error("the watch continues in the next epoch")
	}
}
