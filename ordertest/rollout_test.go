package ordertest

import (
	"testing"
	"time"

	"peridotusher.example/peridotusher/faultproxy"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

// TestRolloutUnderFaults loses the answers to orders, limits the reservations of the
// weight store, and crashes an engine while it loads. Every other engine must receive
// each order once.
func TestRolloutUnderFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, config{versions: "v1:100"}, testbed.Options{
		EnginesPerZone:   5,
		ConfigureWeights: func(w *standin.Weights) { w.PerSecond, w.Burst = 1, 1 },
		ConfigureEngine:  func(e *standin.Engine) { e.LoadTime = time.Second },
	})
	for _, e := range f.Engines {
		e.LoseOrderAnswers(1)
	}
	f.updateConfig(config{versions: "v2:100"})
	crashed := f.crashLoading()
	var survivors []*testbed.Engine
	for _, e := range f.Engines {
		if e != crashed {
			survivors = append(survivors, e)
		}
	}
	f.wait("version v2 alone on every other engine", func() bool { return f.allLoaded("v2", survivors...) })
	f.checkFences()
	for _, e := range survivors {
		orders := e.Stats().Orders
		if orders["load"] != 1 || orders["unload"] != 1 {
			t.Errorf("%s received the orders %v, want one load and one unload", e.Name, orders)
		}
	}
	if f.Weights.Calls().Refused == 0 {
		t.Error("the weight store refused no reservation")
	}
}

// crashLoading crashes an engine while it loads version v2.
func (f *fleet) crashLoading() *testbed.Engine {
	f.t.Helper()
	var loading *testbed.Engine
	f.wait("an engine that loads v2", func() bool {
		for _, e := range f.Engines {
			if f.versions(e) == "v1,v2 loading" {
				loading = e
			}
		}
		return loading != nil
	})
	loading.SetCrashed()
	return loading
}

// TestRolloutReversedUnderLoad rolls out a version with a slow first token, so that the
// rollout pauses, then reverts it and checks every answer.
func TestRolloutReversedUnderLoad(t *testing.T) {
	f := startFleet(t, config{versions: "v1:100"}, testbed.Options{})
	for _, e := range f.Engines {
		e.SetLateVersion("v2", 400*time.Millisecond)
	}
	traffic := startTraffic(f, trafficChats)
	f.updateConfig(config{versions: "v2:100", policy: "soak = 8s"})
	f.wait("a pause", func() bool { return f.logged("rollout paused") })
	before := f.loadedVersions()
	f.updateConfig(config{versions: "v1:100"})
	f.wait("version v1 alone on every engine", func() bool { return f.allLoaded("v1", f.Engines...) })
	traffic.stop()
	if before == "" || f.countLoaded(before, "v2") == len(f.Engines) {
		t.Errorf("the rollout did not pause: %s", before)
	}
	f.checkFences()
	traffic.check()
	if traffic.ran("v2") == 0 {
		t.Error("no request ran on v2")
	}
}

// TestZoneCutOffDuringRollout cuts zone a off after its first order. Its engines must
// receive no more orders, its routers must continue to serve, and the rollout must
// continue once the zone is connected again.
func TestZoneCutOffDuringRollout(t *testing.T) {
	t.Parallel()
	f := startFleet(t, config{versions: "v1:100"}, testbed.Options{
		Zones: []string{"a", "b"}, RoutersPerZone: 2, EnginesPerZone: 3,
		ConfigureEngine: func(e *standin.Engine) { e.LoadTime = 500 * time.Millisecond },
	})
	var zoneEngines []*testbed.Engine
	for _, e := range f.Engines {
		if e.Zone == "a" {
			zoneEngines = append(zoneEngines, e)
		}
	}
	f.updateConfig(config{versions: "v2:100"})
	f.wait("the first order in zone a", func() bool { return appliedOrders(zoneEngines) > 0 })
	f.CutZone("a")
	f.wait("version v2 alone in zone b", func() bool { return f.allLoaded("v2", exclude(f.Engines, zoneEngines)...) })
	ordersBefore := appliedOrders(zoneEngines)
	traffic := startTraffic(f, trafficChats)
	traffic.restrictToZone("a")
	f.wait("answers in the zone that is cut off", func() bool { return traffic.answered() > 20 })
	traffic.stop()
	traffic.check()
	if now := appliedOrders(zoneEngines); now != ordersBefore {
		t.Errorf("zone a received %d orders while it was cut off", now-ordersBefore)
	}
	if ordersBefore == 2*len(zoneEngines) {
		t.Error("the rollout ended before the zone was cut off")
	}
	f.HealZone("a")
	f.wait("version v2 alone in zone a", func() bool { return f.allLoaded("v2", zoneEngines...) })
	f.checkFences()
}

// TestStoreCutOff cuts only the links to the store. Once the lease expires, no more orders
// may be sent, and requests must still be answered.
func TestStoreCutOff(t *testing.T) {
	t.Parallel()
	f := startFleet(t, config{versions: "v1:100"}, testbed.Options{})
	f.updateConfig(config{versions: "v2:100", policy: "loads = 1\nsoak = 3s"})
	f.wait("the first order", f.orderApplied)
	for _, r := range f.Routers {
		f.Links.Get("a", "store-"+r.Name).Set(faultproxy.Fault{Silent: true})
		f.Links.Get("a", "store-"+r.Name).ResetConnections()
	}
	f.wait("the expiry of the lease", func() bool { return f.leaseHolder() == nil })
	ordersBefore := appliedOrders(f.Engines)
	traffic := startTraffic(f, trafficChats)
	f.wait("answers without the store", func() bool { return traffic.answered() > 50 })
	traffic.stop()
	traffic.check()
	if now := appliedOrders(f.Engines); now != ordersBefore {
		t.Errorf("%d orders were sent without the lease", now-ordersBefore)
	}
}

// appliedOrders returns the number of orders that the engines applied.
func appliedOrders(engines []*testbed.Engine) int {
	n := 0
	for _, e := range engines {
		n += len(e.Stats().Fences)
	}
	return n
}

// exclude returns the engines that are not among the others.
func exclude(engines, others []*testbed.Engine) []*testbed.Engine {
	var remaining []*testbed.Engine
	for _, e := range engines {
		found := false
		for _, o := range others {
			found = found || o == e
		}
		if !found {
			remaining = append(remaining, e)
		}
	}
	return remaining
}
