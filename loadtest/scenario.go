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

// Scenario names the faults of a run.
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
	leaveTime      = 3 * time.Second // from the leaving mark to the stop of an idle engine
	flapInterval   = 2 * time.Second
	staleLag       = 5 * time.Second
	linkFaultTime  = time.Second
	linkFaultPause = 2 * time.Second
	cutTime        = 5 * time.Second
)

// faults injects the faults of one scenario.
type faults struct {
	bed     *testbed.Bed
	rand    *rand.Rand
	length  time.Duration
	changes []change
	surge   func(bool)
}

// run injects the faults until ctx ends.
func (f *faults) run(ctx context.Context, s Scenario) error {
	switch s {
	case Surge:
		return f.surges(ctx)
	case Churn, StaleLists:
		return f.churn(ctx)
	case Flap:
		f.flap(ctx)
	case OwnerCrash:
		return f.crash(ctx)
	case ZoneCut:
		f.cut(ctx)
	case StoreOutage:
		f.outage(ctx)
	case Links:
		f.links(ctx)
	}
	return nil
}

// surges lets one organisation surge in the middle half of the run.
func (f *faults) surges(ctx context.Context) error {
	pause.For(ctx, f.length/4)
	f.surge(true)
	pause.For(ctx, f.length/2)
	f.surge(false)
	return nil
}

// churn replaces one engine in twenty at each interval, in turn by a graceful
// leave and by a crash.
func (f *faults) churn(ctx context.Context) error {
	for n := 0; pause.For(ctx, churnInterval/2); n++ {
		live := f.liveEngines()
		e := live[f.rand.IntN(len(live))]
		f.mark(e.Name, false)
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
		f.mark(added.Name, true)
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

// flap takes one engine in and out of the lists.
func (f *faults) flap(ctx context.Context) {
	e := f.bed.Engines[0]
	for listed := true; pause.For(ctx, flapInterval); listed = !listed {
		if listed {
			f.mark(e.Name, false)
			f.bed.Unlist(e.Name)
			continue
		}
		f.mark(e.Name, true)
		// The bed listed the engine before, so listing it again cannot fail.
		_ = f.bed.List(e.Name, hosts.KindEngine, e.Zone, e.Listener.Addr().String())
	}
}

// crash kills one router and starts it again later.
func (f *faults) crash(ctx context.Context) error {
	pause.For(ctx, f.length/3)
	r := f.bed.Routers[f.rand.IntN(len(f.bed.Routers))]
	r.Kill()
	pause.For(ctx, f.length/3)
	return r.Start()
}

// cut cuts the last zone off for a while.
func (f *faults) cut(ctx context.Context) {
	pause.For(ctx, f.length/3)
	f.bed.CutZone("c")
	pause.For(ctx, cutTime)
	f.bed.HealZone("c")
}

// outage takes the store away for the middle half of the run.
func (f *faults) outage(ctx context.Context) {
	pause.For(ctx, f.length/4)
	f.bed.Store.SetDown(true)
	pause.For(ctx, f.length/2)
	f.bed.Store.SetDown(false)
}

// links stalls, silences and resets the links of one zone in turn.
func (f *faults) links(ctx context.Context) {
	acts := []func(*faultproxy.Proxy){
		func(p *faultproxy.Proxy) { p.Set(faultproxy.Fault{Stall: true}) },
		func(p *faultproxy.Proxy) { p.SilenceOpen() },
		func(p *faultproxy.Proxy) { p.ResetConnections() },
	}
	for n := 0; pause.For(ctx, linkFaultPause); n++ {
		f.bed.Links.Each("b", acts[n%len(acts)])
		pause.For(ctx, linkFaultTime)
		f.bed.HealZone("b")
	}
}

// mark records a change of the live engines.
func (f *faults) mark(engine string, live bool) {
	f.changes = append(f.changes, change{at: time.Now(), engine: engine, member: true, live: live})
}

// liveEngines returns the engines that take new work.
func (f *faults) liveEngines() []*testbed.Engine {
	live := map[string]bool{}
	for _, c := range f.changes {
		live[c.engine] = c.live
	}
	return slices.DeleteFunc(slices.Clone(f.bed.Engines), func(e *testbed.Engine) bool { return !live[e.Name] })
}
