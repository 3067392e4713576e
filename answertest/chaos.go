package answertest

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/faultproxy"
	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/testbed"
)

// Chaos brings faults about, one after the other, in an order given by its seed.
type Chaos struct {
	Bed    *testbed.Bed
	Rand   *rand.Rand
	Faults map[string]func(context.Context)
	Pause  time.Duration // between two faults

	counts map[string]int
}

// Run brings faults about until ctx ends, and heals the last one.
func (c *Chaos) Run(ctx context.Context) error {
	c.counts = map[string]int{}
	names := slices.Sorted(maps.Keys(c.Faults))
	for ctx.Err() == nil {
		name := names[c.Rand.IntN(len(names))]
		c.counts[name]++
		c.Faults[name](ctx)
		pause.For(ctx, c.Pause)
	}
	return nil
}

// Counts returns how often each fault was brought about.
func (c *Chaos) Counts() map[string]int { return c.counts }

// router returns one of the routers.
func (c *Chaos) router() *testbed.Router { return c.Bed.Routers[c.Rand.IntN(len(c.Bed.Routers))] }

// KillRouter kills a router and starts it again.
func (c *Chaos) KillRouter(ctx context.Context) {
	r := c.router()
	r.Kill()
	pause.For(ctx, 300*time.Millisecond)
	// A router that does not start leaves its share to the others.
	_ = r.Start()
}

// PauseRouter stops a router's process for longer than a call's deadline.
func (c *Chaos) PauseRouter(ctx context.Context) {
	r := c.router()
	r.Pause()
	pause.For(ctx, 2500*time.Millisecond)
	r.Resume()
}

// StoreOutage makes the store refuse everything.
func (c *Chaos) StoreOutage(ctx context.Context) {
	c.Bed.Store.SetDown(true)
	pause.For(ctx, 400*time.Millisecond)
	c.Bed.Store.SetDown(false)
}

// SlowStore delays every answer of the store.
func (c *Chaos) SlowStore(ctx context.Context) {
	c.Bed.Store.SetDelay(700 * time.Millisecond)
	pause.For(ctx, 500*time.Millisecond)
	c.Bed.Store.SetDelay(0)
}

// LostStoreAnswers cuts the connections of writes that took effect.
func (c *Chaos) LostStoreAnswers(ctx context.Context) {
	c.Bed.Store.LoseAnswers(5)
	pause.For(ctx, 100*time.Millisecond)
}

// SilentLinks makes the open connections between a zone and the rest silent.
func (c *Chaos) SilentLinks(ctx context.Context) {
	zones := slices.Sorted(maps.Keys(c.Bed.Lists))
	c.Bed.Links.Each(zones[c.Rand.IntN(len(zones))], func(p *faultproxy.Proxy) { p.SilenceOpen() })
	pause.For(ctx, 100*time.Millisecond)
}

// ServiceFaults lets calls fail before they run, after it and in the answer.
func (c *Chaos) ServiceFaults(ctx context.Context) {
	s := c.Bed.Services[c.Rand.IntN(len(c.Bed.Services))]
	s.FailBefore(1)
	s.FailDuring(1)
	s.FailAfter(1)
	pause.For(ctx, 50*time.Millisecond)
}

// SilentService makes a service run calls without an answer.
func (c *Chaos) SilentService(ctx context.Context) {
	s := c.Bed.Services[c.Rand.IntN(len(c.Bed.Services))]
	s.SetSilent(true)
	pause.For(ctx, 100*time.Millisecond)
	s.SetSilent(false)
}

// SilentEngine makes the open streams of an engine silent.
func (c *Chaos) SilentEngine(ctx context.Context) {
	c.engine().SilenceOpen()
	pause.For(ctx, 50*time.Millisecond)
}

// CrossedEvents makes an engine send events of other streams.
func (c *Chaos) CrossedEvents(ctx context.Context) {
	c.engine().CrossEvents(3)
	pause.For(ctx, 50*time.Millisecond)
}

// CrashEngine ends an engine for good and lists a new one in its zone.
func (c *Chaos) CrashEngine(ctx context.Context) {
	e := c.engine()
	e.SetCrashed()
	c.Bed.Unlist(e.Name)
	// Without a new engine the others take the load.
	_, _ = c.Bed.AddEngine(e.Zone)
	pause.For(ctx, 500*time.Millisecond)
}

func (c *Chaos) engine() *testbed.Engine { return c.Bed.Engines[c.Rand.IntN(len(c.Bed.Engines))] }

// during runs work while the faults happen.
func (c *Chaos) during(ctx context.Context, work func(ctx context.Context) error) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return c.Run(ctx) })
	err := work(ctx)
	stop()
	// The faults report no errors.
	_ = group.Wait()
	return err
}
