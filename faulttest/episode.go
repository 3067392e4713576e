package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/callers"
	"peridotusher.example/peridotusher/examples"
	"peridotusher.example/peridotusher/testbed"
)

// The times of an episode.
const (
	warmupTime      = time.Second
	minFaultTime    = 2 * time.Second // minimum time between start and end of a fault
	faultTimeJitter = time.Second
	recoveryTime    = 5 * time.Second // time after the faults in which failures are still excused
	verifyTime      = 2 * time.Second // traffic after the recovery, whose answers must be complete
	startTimeout    = 30 * time.Second
	pollInterval    = 50 * time.Millisecond
)

// The size of an episode's fleet.
const (
	routersPerZone = 2
	enginesPerZone = 4
	zoneDelay      = 3 * time.Millisecond
	zoneJitter     = time.Millisecond
)

// Episode runs one fleet under traffic and faults.
type Episode struct {
	Binary string
	Dir    string
	Seed   uint64
	Faults []Fault
	Log    func(format string, args ...any)

	ctx     context.Context
	bed     *testbed.Bed
	rand    *rand.Rand
	urls    atomic.Pointer[[]string]
	traffic *traffic
	editor  *editor
	probe   *probe

	// State that the faults changed.
	leaving             []leavingEngine
	crashed             map[string]bool // engines that crashed
	slowed              *testbed.Engine
	restoreLists        []func()
	isolatedZone        string // zone that was cut off from the others and the platform
	zoneWithoutPlatform string
	slowZone            string
	killed              *testbed.Router
	paused              *testbed.Router
	failedStops         []error // errors of planned stops

	faultsBegan time.Time // start of the first fault
	faultsEnded time.Time // end of the last fault
	recovered   time.Time // end of the recovery
}

// Run runs the episode and returns the violations of the fleet's guarantees.
func (e *Episode) Run(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.ctx = ctx
	e.rand = rand.New(rand.NewPCG(e.Seed, 0))
	e.crashed = map[string]bool{}
	bed, stop, err := testbed.Start(ctx, testbed.Options{
		Binary:         e.Binary,
		Dir:            e.Dir,
		Seed:           e.Seed,
		RoutersPerZone: routersPerZone,
		EnginesPerZone: enginesPerZone,
		Document:       episodeDocument(),
		ZoneDelay:      zoneDelay,
		ZoneJitter:     zoneJitter,
	})
	if err != nil {
		return nil, err
	}
	defer stop()
	e.bed = bed
	e.setURLs()
	if err := e.runFaults(); err != nil {
		return nil, err
	}
	return e.violations(), nil
}

// runFaults runs traffic, editor and probe while it begins and ends the faults.
func (e *Episode) runFaults() error {
	balancer := &callers.Balancer{URLs: e.readURLs}
	e.traffic = newTraffic(balancer, e.Seed)
	e.editor = newEditor(e.bed)
	e.probe = newProbe(e.editor, e.readURLs)
	sending, stop := context.WithCancel(e.ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return e.traffic.run(e.ctx, sending) })
	group.Go(func() error { e.editor.run(e.ctx, sending); return nil })
	group.Go(func() error { e.probe.run(e.ctx, sending); return nil })
	err := e.schedule()
	stop()
	if werr := group.Wait(); err == nil {
		err = werr
	}
	return err
}

// schedule begins and ends the faults at random times.
func (e *Episode) schedule() error {
	e.sleep(warmupTime)
	e.faultsBegan = time.Now()
	for _, f := range e.Faults {
		e.Log("begin %s", f.Name)
		if err := f.Begin(e); err != nil {
			return err
		}
		e.sleep(e.jitter(faultTimeJitter) / 2)
	}
	e.sleep(minFaultTime + e.jitter(faultTimeJitter))
	for _, f := range e.Faults {
		if f.End == nil {
			continue
		}
		e.Log("end %s", f.Name)
		if err := f.End(e); err != nil {
			return err
		}
	}
	e.faultsEnded = time.Now()
	e.sleep(recoveryTime)
	e.recovered = time.Now()
	e.sleep(verifyTime)
	return nil
}

func (e *Episode) sleep(d time.Duration) {
	select {
	case <-e.ctx.Done():
	case <-time.After(d):
	}
}

func (e *Episode) jitter(d time.Duration) time.Duration {
	return time.Duration(e.rand.Int64N(int64(d)))
}

// zone returns a random zone.
func (e *Episode) zone() string { return []string{"a", "b", "c"}[e.rand.IntN(3)] }

// engine returns a random engine that is neither leaving nor crashed.
func (e *Episode) engine() *testbed.Engine {
	for {
		engine := e.bed.Engines[e.rand.IntN(len(e.bed.Engines))]
		if !e.crashed[engine.Name] && !e.isLeaving(engine) {
			return engine
		}
	}
}

func (e *Episode) isLeaving(engine *testbed.Engine) bool {
	for _, l := range e.leaving {
		if l.engine == engine {
			return true
		}
	}
	return false
}

// router returns a random router that is running and not paused.
func (e *Episode) router() *testbed.Router {
	for {
		r := e.bed.Routers[e.rand.IntN(len(e.bed.Routers))]
		if r.Running() && r != e.paused {
			return r
		}
	}
}

func (e *Episode) setURLs() {
	var urls []string
	for _, r := range e.bed.Routers {
		urls = append(urls, r.URL)
	}
	e.urls.Store(&urls)
}

func (e *Episode) readURLs() []string { return *e.urls.Load() }

// tolerance returns the highest tolerance among the faults.
func (e *Episode) tolerance(of func(Fault) Tolerance) Tolerance {
	highest := NoFailure
	for _, f := range e.Faults {
		highest = max(highest, of(f))
	}
	return highest
}

// Name returns the names of the faults.
func (e *Episode) Name() string {
	var names []string
	for _, f := range e.Faults {
		names = append(names, f.Name)
	}
	return strings.Join(names, "+")
}

// episodeDocument returns the sample configuration with shorter time limits.
func episodeDocument() []byte {
	text := examples.Kalimera
	for _, replacement := range [][2]string{
		{"deadline = 30s", fmt.Sprintf("deadline = %s", chatDeadline)},
		{"idle = 5s", "idle = 1s"},
	} {
		text = bytes.ReplaceAll(text, []byte(replacement[0]), []byte(replacement[1]))
	}
	return text
}
