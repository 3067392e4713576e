package loadtest

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"regexp"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/examples"
	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

// The fleet of a run, with simulated delays.
const (
	routers        = 8
	zones          = 3
	enginesPerZone = 7
	zoneDelay      = 3 * time.Millisecond
	zoneJitter     = time.Millisecond
	prefillToken   = 100 * time.Microsecond
	cacheTokens    = 60_000
	reportLag      = 300 * time.Millisecond
	eventGap       = 0.05
	warmUp         = 8 * time.Second
	idleConns      = 512
	callerTimeout  = 2 * time.Minute
)

// Test is one run of the load tool.
type Test struct {
	Scenario  Scenario
	Placement document.Placement
	Policy    map[string]string // keys of the document's policy section to set
	Seed      uint64
	Duration  time.Duration // measured time, after the warm-up
	Rate      float64       // requests per second and router
	TokenTime time.Duration // time of one step of an engine's batch
	Dir       string        // folder for the program, settings and logs
	Binary    string        // the router program; built into Dir if empty
}

// Run starts a fleet, measures it and returns the figures.
func (t *Test) Run(ctx context.Context) (*Report, error) {
	binary := t.Binary
	if binary == "" {
		var err error
		if binary, err = testbed.Build(ctx, t.Dir); err != nil {
			return nil, err
		}
	}
	bed, stop, err := testbed.Start(ctx, t.options(binary))
	if err != nil {
		return nil, err
	}
	defer stop()
	return t.measure(ctx, bed)
}

func (t *Test) options(binary string) testbed.Options {
	lag := 500 * time.Millisecond
	if t.Scenario == StaleLists {
		lag = staleLag
	}
	return testbed.Options{
		Binary:         binary,
		Dir:            t.Dir,
		RoutersPerZone: routers / zones,
		ExtraRouters:   routers % zones,
		EnginesPerZone: enginesPerZone,
		Document:       t.document(),
		Seed:           t.Seed,
		ZoneDelay:      zoneDelay,
		ZoneJitter:     zoneJitter,
		ListDelay:      lag,
		ConfigureEngine: func(e *standin.Engine) {
			e.TokenTime = t.TokenTime
			e.PrefillPerToken = prefillToken
			e.CacheTokens = cacheTokens
			e.LoadReportDelay = reportLag
			e.EventDelay = reportLag
			e.EventLossRate = eventGap
		},
	}
}

var policyHeader = regexp.MustCompile(`(?m)^\[policy\]$`)

// document returns the sample configuration with the placement of the run.
func (t *Test) document() []byte {
	policy := "[policy]\nplacement = " + string(t.Placement)
	text := bytes.Clone(examples.Kalimera)
	for key, value := range t.Policy {
		line := regexp.MustCompile("(?m)^" + regexp.QuoteMeta(key) + " = .*\n")
		text = line.ReplaceAll(text, nil)
		policy += "\n" + key + " = " + value
	}
	return policyHeader.ReplaceAll(text, []byte(policy))
}

// measure runs the traffic and the faults and computes the report.
func (t *Test) measure(ctx context.Context, bed *testbed.Bed) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var surge atomic.Bool
	source := &traffic{
		bed:     bed,
		seed:    t.Seed,
		rate:    t.Rate * routers,
		results: &results{},
		cache:   newOracle(),
		http:    &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}},
	}
	if t.Scenario == Surge {
		source.surgeActive = surge.Load
	}
	f := &faults{bed: bed, rand: rand.New(rand.NewPCG(t.Seed, 2)), duration: t.Duration, setSurge: surge.Store}
	for _, e := range bed.Engines {
		f.recordLiveness(e.Name, true)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { source.run(ctx); return nil })
	pause.For(ctx, warmUp)
	run := &measurement{test: t, bed: bed, traffic: source, faults: f}
	group.Go(func() error { return run.collect(ctx, cancel) })
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return run.report(), nil
}

// measurement holds the readings of one run.
type measurement struct {
	test    *Test
	bed     *testbed.Bed
	traffic *traffic
	faults  *faults

	start, end    time.Time
	before, after []usage
	storeBefore   standin.StoreCalls
	storeAfter    standin.StoreCalls
	hitsBefore    cacheCount
	hitsAfter     cacheCount
}

// collect takes readings at the start and the end of the measured time.
func (m *measurement) collect(ctx context.Context, stop func()) error {
	defer stop()
	m.start = time.Now()
	m.before = m.usages(ctx)
	m.storeBefore = m.bed.Store.Calls()
	m.hitsBefore = countCache(m.bed)
	scenario, endScenario := context.WithTimeout(ctx, m.test.Duration)
	defer endScenario()
	if err := m.faults.run(scenario, m.test.Scenario); err != nil {
		return err
	}
	<-scenario.Done()
	m.end = time.Now()
	m.after = m.usages(ctx)
	m.storeAfter = m.bed.Store.Calls()
	m.hitsAfter = countCache(m.bed)
	return ctx.Err()
}

// usages reads every router; the usage of one that does not answer is zero.
func (m *measurement) usages(ctx context.Context) []usage {
	list := make([]usage, len(m.bed.Routers))
	for i, r := range m.bed.Routers {
		if u, err := readUsage(ctx, r); err == nil {
			list[i] = u
		}
	}
	return list
}

// cacheCount is the number of prompt tokens found and not found in the engines' caches.
type cacheCount struct {
	hits   int
	misses int
}

func countCache(bed *testbed.Bed) cacheCount {
	var c cacheCount
	for _, e := range bed.Engines {
		stats := e.Stats()
		c.hits += stats.HitTokens
		c.misses += stats.MissTokens
	}
	return c
}

// parseDocument returns the run's parsed configuration.
func (t *Test) parseDocument() *document.Document {
	doc, _ := document.Parse("loadtest", t.document())
	return doc
}

func (t *Test) bound() float64 { return t.parseDocument().Policy().Bound() }
