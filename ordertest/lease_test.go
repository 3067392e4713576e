package ordertest

import (
	"context"
	"testing"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/testbed"
)

// TestHolderPausedPastItsLease freezes the holder in the middle of a rollout
// until another router gives the orders, lets it go on, and then has one of
// its old orders arrive late.
func TestHolderPausedPastItsLease(t *testing.T) {
	for _, fencing := range []document.Fencing{document.FencingChecked, document.FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, config{fencing: fencing, versions: "v1:100"}, testbed.Options{})
			f.wait("a holder", func() bool { return f.holder() != nil })
			f.write(config{fencing: fencing, versions: "v2:100"})
			f.wait("the first order", f.begun)
			old := f.holder()
			oldFence := firstFence(f)
			old.Pause()
			f.wait("another holder", func() bool {
				now := f.holder()
				return now != nil && now != old
			})
			old.Resume()
			f.wait("version v2 alone on every engine", func() bool { return f.allHold("v2", f.Engines...) })
			f.checkFences()
			f.lateOrder(fencing, oldFence)
		})
	}
}

// firstFence returns the fencing number of the first order.
func firstFence(f *fleet) uint64 {
	for _, e := range f.Engines {
		if fences := e.Stats().Fences; len(fences) > 0 {
			return fences[0]
		}
	}
	return 0
}

// lateOrder lets an order of a former holder arrive at an engine that has had
// one of the present holder.
func (f *fleet) lateOrder(fencing document.Fencing, oldFence uint64) {
	f.t.Helper()
	for _, e := range f.Engines {
		fences := e.Stats().Fences
		if fences[len(fences)-1] <= oldFence {
			continue
		}
		result, err := f.client.Order(context.Background(), e.Listener.Addr().String(), engine.Order{
			ID: "late", Fence: oldFence, Kind: engine.OrderUnload, Model: "stylist", Version: "v2",
		})
		if err != nil {
			f.t.Fatal(err)
		}
		if refused := fencing == document.FencingChecked; result.Refused != refused {
			f.t.Errorf("late order refused: %v, want %v", result.Refused, refused)
		}
		f.wait("version v2 on the engine that got the late order", func() bool { return f.allHold("v2", e) })
		return
	}
	f.t.Error("no engine has had an order of the second holder")
}
