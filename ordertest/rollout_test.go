package ordertest

import (
	"testing"
	"time"

	"peridotusher.example/peridotusher/faultproxy"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

// TestRolloutThroughFaults loses the answers of orders, limits the weight
// store, and crashes an engine while it loads.
func TestRolloutThroughFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, config{versions: "v1:100"}, testbed.Options{
		EnginesPerZone:   5,
		ConfigureWeights: func(w *standin.Weights) { w.PerSecond, w.Burst = 1, 1 },
		ConfigureEngine:  func(e *standin.Engine) { e.LoadTime = time.Second },
	})
	for _, e := range f.Engines {
		e.LoseOrderAnswers(1)
	}
	f.write(config{versions: "v2:100"})
	crashed := f.crashLoading()
	var rest []*testbed.Engine
	for _, e := range f.Engines {
		if e != crashed {
			rest = append(rest, e)
		}
	}
	f.wait("version v2 alone on every other engine", func() bool { return f.allHold("v2", rest...) })
	f.checkFences()
	for _, e := range rest {
		orders := e.Stats().Orders
		if orders["load"] != 1 || orders["unload"] != 1 {
			t.Errorf("%s got the orders %v, want one load and one unload", e.Name, orders)
		}
	}
	if f.Weights.Calls().Refused == 0 {
		t.Error("the weight store refused no reservation")
	}
}

// crashLoading crashes the first engine that loads version v2.
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

// TestRolloutReversedUnderLoad pauses a rollout by a version whose first token
// comes late, takes it back, and checks every answer.
func TestRolloutReversedUnderLoad(t *testing.T) {
	f := startFleet(t, config{versions: "v1:100"}, testbed.Options{})
	for _, e := range f.Engines {
		e.SetLateVersion("v2", 400*time.Millisecond)
	}
	traffic := startTraffic(f, trafficChats)
	f.write(config{versions: "v2:100", policy: "soak = 8s"})
	f.wait("a pause", func() bool { return f.logged("rollout paused") })
	before := f.held()
	f.write(config{versions: "v1:100"})
	f.wait("version v1 alone on every engine", func() bool { return f.allHold("v1", f.Engines...) })
	traffic.stop()
	if before == "" || f.countHeld(before, "v2") == len(f.Engines) {
		t.Errorf("the rollout did not pause: %s", before)
	}
	f.checkFences()
	traffic.check()
	if traffic.ran("v2") == 0 {
		t.Error("no request ran on v2")
	}
}

// TestZoneCutOffInTheMiddleOfARollout cuts zone a off after its first order:
// its engines get no more orders, its routers go on serving, and the rollout
// goes on once the zone is back.
func TestZoneCutOffInTheMiddleOfARollout(t *testing.T) {
	t.Parallel()
	f := startFleet(t, config{versions: "v1:100"}, testbed.Options{
		Zones: []string{"a", "b"}, RoutersPerZone: 2, EnginesPerZone: 3,
		ConfigureEngine: func(e *standin.Engine) { e.LoadTime = 500 * time.Millisecond },
	})
	var near []*testbed.Engine
	for _, e := range f.Engines {
		if e.Zone == "a" {
			near = append(near, e)
		}
	}
	f.write(config{versions: "v2:100"})
	f.wait("the first order in zone a", func() bool { return orders(near) > 0 })
	f.CutZone("a")
	f.wait("version v2 alone in zone b", func() bool { return f.allHold("v2", without(f.Engines, near)...) })
	given := orders(near)
	traffic := startTraffic(f, trafficChats)
	traffic.zone("a")
	f.wait("answers in the zone that is cut off", func() bool { return traffic.whole() > 20 })
	traffic.stop()
	traffic.check()
	if now := orders(near); now != given {
		t.Errorf("zone a got %d orders while it was cut off", now-given)
	}
	if given == 2*len(near) {
		t.Error("the rollout was over before the zone was cut off")
	}
	f.HealZone("a")
	f.wait("version v2 alone in zone a", func() bool { return f.allHold("v2", near...) })
	f.checkFences()
}

// TestStoreCutOff cuts only the links to the platform: no new orders are given.
func TestStoreCutOff(t *testing.T) {
	t.Parallel()
	f := startFleet(t, config{versions: "v1:100"}, testbed.Options{})
	f.write(config{versions: "v2:100", policy: "loads = 1\nsoak = 3s"})
	f.wait("the first order", f.begun)
	for _, r := range f.Routers {
		f.Links.Get("a", "store-"+r.Name).Set(faultproxy.Fault{Silent: true})
		f.Links.Get("a", "store-"+r.Name).ResetConnections()
	}
	f.wait("the end of the lease", func() bool { return f.holder() == nil })
	given := orders(f.Engines)
	traffic := startTraffic(f, trafficChats)
	f.wait("answers without the store", func() bool { return traffic.whole() > 50 })
	traffic.stop()
	traffic.check()
	if now := orders(f.Engines); now != given {
		t.Errorf("%d orders were given without the lease", now-given)
	}
}

// orders returns the number of orders that the engines applied.
func orders(engines []*testbed.Engine) int {
	n := 0
	for _, e := range engines {
		n += len(e.Stats().Fences)
	}
	return n
}

// without returns the engines that are not among the others.
func without(engines, others []*testbed.Engine) []*testbed.Engine {
	var left []*testbed.Engine
	for _, e := range engines {
		found := false
		for _, o := range others {
			found = found || o == e
		}
		if !found {
			left = append(left, e)
		}
	}
	return left
}
