package loadtest

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"peridotusher.example/peridotusher/faultproxy"
	"peridotusher.example/peridotusher/hosts"
	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/testbed"
)

// Scenario names the faults that are injected in a run.
type Scenario string

// The scenarios.
const (
	Steady      Scenario = "steady"
	Surge       Scenario = "surge"
	Churn       Scenario = "churn"
	Flap        Scenario = "flap"
	OwnerCrash  Scenario = "owner-crash"
	ZoneCut     Scenario = "zone-cut"
	StaleLists  Scenario = "stale-lists"
	StoreOutage Scenario = "store-outage"
	Links       Scenario = "links"
)

// Scenarios returns every scenario.
func Scenarios() []Scenario {
	return []Scenario{Steady, Surge, Churn, Flap, OwnerCrash, ZoneCut, StaleLists, StoreOutage, Links}
}

// The times of the faults.
const (
	churnInterval  = 10 * time.Second
	leaveTime      = 3 * time.Second // minimum time from the mark as leaving to the engine's stop
	flapInterval   = 2 * time.Second
	staleLag       = 5 * time.Second
	linkFaultTime  = time.Second
	linkFaultPause = 2 * time.Second
	cutTime        = 5 * time.Second
)

// faults injects the faults of one scenario.
type faults struct {
	bed      *testbed.Bed
	rand     *rand.Rand
	duration time.Duration
	changes  []change
	setSurge func(bool)
}

// run injects the faults until ctx ends.
func (f *faults) run(ctx context.Context, s Scenario) error {
	switch s {
	case Surge:
		return f.surgeTraffic(ctx)
	case Churn, StaleLists:
		return f.churn(ctx)
	case Flap:
		f.flapEngine(ctx)
	case OwnerCrash:
		return f.crashRouter(ctx)
	case ZoneCut:
		f.cutZone(ctx)
	case StoreOutage:
		f.stopStore(ctx)
	case Links:
		f.disturbLinks(ctx)
	}
	return nil
}

// surgeTraffic raises one organisation's traffic in the middle half of the run.
func (f *faults) surgeTraffic(ctx context.Context) error {
	pause.For(ctx, f.duration/4)
	f.setSurge(true)
	pause.For(ctx, f.duration/2)
	f.setSurge(false)
	return nil
}

// churn replaces one engine at each interval, alternating between a graceful leave and
// a crash. With 21 engines that is about one in twenty.
func (f *faults) churn(ctx context.Context) error {
	for n := 0; pause.For(ctx, churnInterval/2); n++ {
		live := f.liveEngines()
		e := live[f.rand.IntN(len(live))]
		f.recordLiveness(e.Name, false)
		if n%2 == 0 {
			f.bed.MarkLeaving(e.Name)
			pause.For(ctx, leaveTime)
			f.waitIdle(ctx, e)
		}
		e.Stop()
		f.bed.Unlist(e.Name)
		added, err := f.bed.AddEngine(e.Zone)
		if err != nil {
			return err
		}
		f.recordLiveness(added.Name, true)
		pause.For(ctx, churnInterval/2)
	}
	return nil
}

// waitIdle waits until an engine has no work.
func (f *faults) waitIdle(ctx context.Context, e *testbed.Engine) {
	const step = 50 * time.Millisecond
	for stats := e.Stats(); stats.Running+stats.Waiting > 0 && pause.For(ctx, step); stats = e.Stats() {
	}
}

// flapEngine removes one engine from the platform's lists and adds it again, repeatedly.
func (f *faults) flapEngine(ctx context.Context) {
	e := f.bed.Engines[0]
	for listed := true; pause.For(ctx, flapInterval); listed = !listed {
		if listed {
			f.recordLiveness(e.Name, false)
			f.bed.Unlist(e.Name)
			continue
		}
		f.recordLiveness(e.Name, true)
		// The engine was listed before, so listing it again cannot fail.
		_ = f.bed.List(e.Name, hosts.KindEngine, e.Zone, e.Listener.Addr().String())
	}
}

// crashRouter kills one router and restarts it after a third of the run.
func (f *faults) crashRouter(ctx context.Context) error {
	pause.For(ctx, f.duration/3)
	r := f.bed.Routers[f.rand.IntN(len(f.bed.Routers))]
	r.Kill()
	pause.For(ctx, f.duration/3)
	return r.Start()
}

// cutZone cuts zone c off for cutTime.
func (f *faults) cutZone(ctx context.Context) {
	pause.For(ctx, f.duration/3)
	f.bed.CutZone("c")
	pause.For(ctx, cutTime)
	f.bed.HealZone("c")
}

// stopStore makes the store unavailable in the middle half of the run.
func (f *faults) stopStore(ctx context.Context) {
	pause.For(ctx, f.duration/4)
	f.bed.Store.SetDown(true)
	pause.For(ctx, f.duration/2)
	f.bed.Store.SetDown(false)
}

// disturbLinks stalls, silences and resets the links of zone b in turn.
func (f *faults) disturbLinks(ctx context.Context) {
	injections := []func(*faultproxy.Proxy){
		func(p *faultproxy.Proxy) { p.Set(faultproxy.Fault{Stall: true}) },
		func(p *faultproxy.Proxy) { p.SilenceOpen() },
		func(p *faultproxy.Proxy) { p.ResetConnections() },
	}
	for n := 0; pause.For(ctx, linkFaultPause); n++ {
		f.bed.Links.Each("b", injections[n%len(injections)])
		pause.For(ctx, linkFaultTime)
		f.bed.HealZone("b")
	}
}

// recordLiveness records whether an engine is live from now on.
func (f *faults) recordLiveness(engine string, live bool) {
	f.changes = append(f.changes, change{at: time.Now(), engine: engine, membership: true, live: live})
}

// liveEngines returns the engines that accept new work.
func (f *faults) liveEngines() []*testbed.Engine {
	live := map[string]bool{}
	for _, c := range f.changes {
		live[c.engine] = c.live
	}
	return slices.DeleteFunc(slices.Clone(f.bed.Engines), func(e *testbed.Engine) bool { return !live[e.Name] })
}
