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
	warmTime     = time.Second
	holdTime     = 2 * time.Second // shortest time between begin and end of a fault
	holdJitter   = time.Second
	recoveryTime = 5 * time.Second // "a few seconds" of the promises
	calmTime     = 2 * time.Second // traffic after the recovery, which has to be whole
	startLimit   = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// The size of an episode's fleet.
const (
	routersPerZone = 2
	enginesPerZone = 4
	zoneDelay      = 3 * time.Millisecond
	zoneJitter     = time.Millisecond
)

// Episode is one fleet under traffic and faults.
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

	// what the faults changed
	left      []leftEngine
	gone      map[string]bool // engines that crashed
	slowed    *testbed.Engine
	unlisted  []func()
	lastCut   string // zone that was cut off
	unplugged string
	slowZone  string
	killed    *testbed.Router
	paused    *testbed.Router
	stops     []error // planned stops that did not end well

	began time.Time // of the first fault
	ended time.Time // of the last fault
	calm  time.Time // end of the recovery
}

// Run runs the episode and returns the promises that were broken.
func (e *Episode) Run(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.ctx = ctx
	e.rand = rand.New(rand.NewPCG(e.Seed, 0))
	e.gone = map[string]bool{}
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
	if err := e.play(); err != nil {
		return nil, err
	}
	return e.broken(), nil
}

// play runs traffic, editor and probe while the faults come and go.
func (e *Episode) play() error {
	balancer := &callers.Balancer{URLs: e.readURLs}
	e.traffic = newTraffic(balancer, e.Seed)
	e.editor = newEditor(e.bed)
	e.probe = newProbe(e.editor, e.readURLs)
	playing, stop := context.WithCancel(e.ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return e.traffic.run(e.ctx, playing) })
	group.Go(func() error { e.editor.run(e.ctx, playing); return nil })
	group.Go(func() error { e.probe.run(e.ctx, playing); return nil })
	err := e.schedule()
	stop()
	if werr := group.Wait(); err == nil {
		err = werr
	}
	return err
}

// schedule begins and ends the faults at drawn times.
func (e *Episode) schedule() error {
	e.sleep(warmTime)
	e.began = time.Now()
	for _, f := range e.Faults {
		e.Log("begin %s", f.Name)
		if err := f.Begin(e); err != nil {
			return err
		}
		e.sleep(e.jitter(holdJitter) / 2)
	}
	e.sleep(holdTime + e.jitter(holdJitter))
	for _, f := range e.Faults {
		if f.End == nil {
			continue
		}
		e.Log("end %s", f.Name)
		if err := f.End(e); err != nil {
			return err
		}
	}
	e.ended = time.Now()
	e.sleep(recoveryTime)
	e.calm = time.Now()
	e.sleep(calmTime)
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

// zone draws a zone.
func (e *Episode) zone() string { return []string{"a", "b", "c"}[e.rand.IntN(3)] }

// engine draws an engine that has neither left nor crashed.
func (e *Episode) engine() *testbed.Engine {
	for {
		engine := e.bed.Engines[e.rand.IntN(len(e.bed.Engines))]
		if !e.gone[engine.Name] && !e.hasLeft(engine) {
			return engine
		}
	}
}

func (e *Episode) hasLeft(engine *testbed.Engine) bool {
	for _, l := range e.left {
		if l.engine == engine {
			return true
		}
	}
	return false
}

// router draws a router that runs and is not paused.
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

// tolerance returns what the faults excuse together.
func (e *Episode) tolerance(of func(Fault) Tolerance) Tolerance {
	most := Whole
	for _, f := range e.Faults {
		most = max(most, of(f))
	}
	return most
}

// Name returns the names of the faults.
func (e *Episode) Name() string {
	var names []string
	for _, f := range e.Faults {
		names = append(names, f.Name)
	}
	return strings.Join(names, "+")
}

// episodeDocument is the sample configuration with shorter times.
func episodeDocument() []byte {
	text := examples.Kalimera
	for _, short := range [][2]string{
		{"deadline = 30s", fmt.Sprintf("deadline = %s", chatDeadline)},
		{"idle = 5s", "idle = 1s"},
	} {
		text = bytes.ReplaceAll(text, []byte(short[0]), []byte(short[1]))
	}
	return text
}
