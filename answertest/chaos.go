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

// Chaos injects faults one at a time, in an order determined by Rand.
type Chaos struct {
	Bed    *testbed.Bed
	Rand   *rand.Rand
	Faults map[string]func(context.Context)
	Pause  time.Duration // between two faults

	counts map[string]int
}

// Run injects faults until ctx ends. It undoes temporary faults before it returns.
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

// Counts returns how often each fault was injected.
func (c *Chaos) Counts() map[string]int { return c.counts }

// router returns a random router.
func (c *Chaos) router() *testbed.Router { return c.Bed.Routers[c.Rand.IntN(len(c.Bed.Routers))] }

// KillRouter kills a router and starts it again.
func (c *Chaos) KillRouter(ctx context.Context) {
	r := c.router()
	r.Kill()
	pause.For(ctx, 300*time.Millisecond)
	// If the router does not start, the others serve its requests.
	_ = r.Start()
}

// PauseRouter stops a router's process for longer than a call's deadline.
func (c *Chaos) PauseRouter(ctx context.Context) {
	r := c.router()
	r.Pause()
	pause.For(ctx, 2500*time.Millisecond)
	r.Resume()
}

// StoreOutage makes the store refuse all requests for a while.
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

// LostStoreAnswers closes the connections of store writes after they were applied,
// before their answers.
func (c *Chaos) LostStoreAnswers(ctx context.Context) {
	c.Bed.Store.LoseAnswers(5)
	pause.For(ctx, 100*time.Millisecond)
}

// SilentLinks makes the open connections between one zone and the others silent.
func (c *Chaos) SilentLinks(ctx context.Context) {
	zones := slices.Sorted(maps.Keys(c.Bed.Lists))
	c.Bed.Links.Each(zones[c.Rand.IntN(len(zones))], func(p *faultproxy.Proxy) { p.SilenceOpen() })
	pause.For(ctx, 100*time.Millisecond)
}

// ServiceFaults makes one call fail before it runs, one after it ran and before the
// answer, and one during the answer.
func (c *Chaos) ServiceFaults(ctx context.Context) {
	s := c.Bed.Services[c.Rand.IntN(len(c.Bed.Services))]
	s.FailBefore(1)
	s.FailDuring(1)
	s.FailAfter(1)
	pause.For(ctx, 50*time.Millisecond)
}

// SilentService makes a service run calls without answering them.
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

// BrokenStreams makes an engine end streams inside an event, in answers with neither a
// length nor chunks.
func (c *Chaos) BrokenStreams(ctx context.Context) {
	e := c.engine()
	e.SetUndelimited(true)
	e.BreakStreams(3)
	pause.For(ctx, 200*time.Millisecond)
	e.BreakStreams(0)
	e.SetUndelimited(false)
}

// CrashEngine crashes an engine permanently and adds a new one in its zone.
func (c *Chaos) CrashEngine(ctx context.Context) {
	e := c.engine()
	e.SetCrashed()
	c.Bed.Unlist(e.Name)
	// If no engine can be added, the others serve the load.
	_, _ = c.Bed.AddEngine(e.Zone)
	pause.For(ctx, 500*time.Millisecond)
}

func (c *Chaos) engine() *testbed.Engine { return c.Bed.Engines[c.Rand.IntN(len(c.Bed.Engines))] }

// runWith runs work while it injects faults.
func (c *Chaos) runWith(ctx context.Context, work func(ctx context.Context) error) error {
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
