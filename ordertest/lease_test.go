package ordertest

import (
	"context"
	"testing"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/testbed"
)

// TestLeaseHolderPausedPastExpiry pauses the holder of the order lease during a rollout
// until another router holds the lease, resumes it, and then delivers an order with the
// paused router's fencing number. Engines that check fencing numbers must refuse it.
func TestLeaseHolderPausedPastExpiry(t *testing.T) {
	for _, fencing := range []document.Fencing{document.FencingChecked, document.FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, config{fencing: fencing, versions: "v1:100"}, testbed.Options{})
			f.wait("a lease holder", func() bool { return f.leaseHolder() != nil })
			f.updateConfig(config{fencing: fencing, versions: "v2:100"})
			f.wait("the first order", f.orderApplied)
			paused := f.leaseHolder()
			staleFence := firstFence(f)
			paused.Pause()
			f.wait("another lease holder", func() bool {
				now := f.leaseHolder()
				return now != nil && now != paused
			})
			paused.Resume()
			f.wait("version v2 alone on every engine", func() bool { return f.allLoaded("v2", f.Engines...) })
			f.checkFences()
			f.sendStaleOrder(fencing, staleFence)
		})
	}
}

// firstFence returns the first fencing number of the first engine that has applied an
// order, and zero if none has.
func firstFence(f *fleet) uint64 {
	for _, e := range f.Engines {
		if fences := e.Stats().Fences; len(fences) > 0 {
			return fences[0]
		}
	}
	return 0
}

// sendStaleOrder sends an order with the fencing number of an earlier lease to an engine
// that has applied an order of the present lease.
func (f *fleet) sendStaleOrder(fencing document.Fencing, staleFence uint64) {
	f.t.Helper()
	for _, e := range f.Engines {
		fences := e.Stats().Fences
		if fences[len(fences)-1] <= staleFence {
			continue
		}
		result, err := f.client.Order(context.Background(), e.Listener.Addr().String(), engine.Order{
			ID: "late", Fence: staleFence, Kind: engine.OrderUnload, Model: "stylist", Version: "v2",
		})
		if err != nil {
			f.t.Fatal(err)
		}
		if refused := fencing == document.FencingChecked; result.Refused != refused {
			f.t.Errorf("stale order refused: %v, want %v", result.Refused, refused)
		}
		f.wait("version v2 on the engine that received the stale order", func() bool { return f.allLoaded("v2", e) })
		return
	}
	f.t.Error("no engine has applied an order of the second lease holder")
}
