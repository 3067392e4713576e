package ordertest

import (
	"context"
	"testing"
	"time"

	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

// TestLeavingEngine orders an engine to leave under load. It must become idle, its
// chats' prefixes must be imported by other engines, and no answer may be truncated.
func TestLeavingEngine(t *testing.T) {
	t.Parallel()
	f := startFleet(t, config{versions: "v1:100", policy: "copy = 0s\nprefill = 1ms\nexports = 200"}, testbed.Options{
		ConfigureEngine: func(e *standin.Engine) { e.EventDelay = 50 * time.Millisecond },
	})
	traffic := startTraffic(f, trafficChats)
	f.wait("cached prefixes on every engine", func() bool {
		for _, e := range f.Engines {
			if e.Stats().Completed < 20 {
				return false
			}
		}
		return true
	})
	leaving := f.Engines[0]
	f.sendOrder(leaving, engine.Order{ID: "leave", Kind: engine.OrderLeave})
	f.wait("imported prefixes", func() bool {
		for _, e := range f.Engines[1:] {
			if e.Stats().Imports > 0 {
				return true
			}
		}
		return false
	})
	f.wait("the end of the work on the leaving engine", func() bool {
		s := leaving.Stats()
		return s.Running+s.Waiting == 0
	})
	traffic.stop()
	traffic.check()
}

// sendOrder sends an order to an engine directly, without a router.
func (f *fleet) sendOrder(e *testbed.Engine, o engine.Order) {
	f.t.Helper()
	result, err := f.client.Order(context.Background(), e.Listener.Addr().String(), o)
	if err != nil || !result.Applied {
		f.t.Fatalf("order %s at %s: %+v, %v", o.Kind, e.Name, result, err)
	}
}

// TestOutliers slows one engine down, makes another one report an impossible load,
// and checks that neither receives work until its fault ends.
func TestOutliers(t *testing.T) {
	requireLong(t)
	t.Parallel()
	f := startFleet(t, config{versions: "v1:100"}, testbed.Options{EnginesPerZone: 5})
	traffic := startTraffic(f, trafficChats)
	slow, wrong := f.Engines[0], f.Engines[1]
	slow.SetSlow(20)
	f.wait("the ejection of the slow engine", func() bool { return f.logged("ruling=eject") })
	f.waitIdle(slow)
	slow.SetSlow(1)
	f.wait("a probe of the slow engine", func() bool { return f.logged("ruling=probe") })
	done := slow.Stats().Completed
	f.wait("work on the slow engine", func() bool { return slow.Stats().Completed > done })
	wrong.ReportLoad(&standin.EngineLoadOverride{Work: 100_000})
	f.waitIdle(wrong)
	wrong.ReportLoad(nil)
	done = wrong.Stats().Completed
	f.wait("work on the engine that reports its load again", func() bool { return wrong.Stats().Completed > done })
	traffic.stop()
	traffic.check()
}

// waitIdle waits until the engine has completed nothing for two seconds.
func (f *fleet) waitIdle(e *testbed.Engine) {
	f.t.Helper()
	since, done := time.Now(), -1
	f.wait("an idle "+e.Name, func() bool {
		if n := e.Stats().Completed; n != done {
			since, done = time.Now(), n
		}
		return time.Since(since) > 2*time.Second
	})
}
