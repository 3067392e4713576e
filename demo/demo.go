package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// startTimeout bounds the wait until every router is ready.
	startTimeout = 20 * time.Second
	// stopPause is the time from the start of the traffic to the planned stops.
	stopPause = 2 * time.Second
)

// Demo is one run.
type Demo struct {
	Out  io.Writer
	Log  logrus.FieldLogger
	Seed uint64
	// Stay keeps the fleet running after the traffic until ctx ends.
	Stay bool
	// Settings is a folder for the settings of one more router, to be started
	// as a process of its own. Empty writes none.
	Settings string
}

// Run starts everything, sends the traffic, prints the table and returns an
// error if any promise was broken.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	f, err := newFleet(ctx, group, d.Log, d.Seed)
	if err != nil {
		return err
	}
	d.say("started %d routers, %d model engines and %d service replicas in %d availability zones", len(f.routers), len(f.engines), len(f.services), len(zones))
	if err := f.waitReady(ctx, startTimeout); err != nil {
		return err
	}
	d.say("every router is ready; sending requests")
	t := newTraffic(f, d.Seed)
	var sum summary
	group.Go(func() error {
		defer cancel()
		sum = t.run(ctx, func() error { return d.plannedStops(ctx, f) })
		if !d.Stay || ctx.Err() != nil {
			return nil
		}
		sum.count(f)
		sum.print(d.Out)
		return d.stay(ctx, f)
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	if !d.Stay {
		sum.count(f)
		sum.print(d.Out)
	}
	return sum.verdict()
}

// plannedStops stops one router and one engine while requests are running.
func (d *Demo) plannedStops(ctx context.Context, f *fleet) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(stopPause):
	}
	router := f.routers[0]
	d.say("stopping router %s gracefully", router.name)
	router.stop()
	engine := f.engines[0]
	d.say("taking engine %s out of service", engine.Name)
	return f.retire(ctx, engine)
}

func (d *Demo) say(format string, args ...any) {
	fmt.Fprintf(d.Out, format+"\n", args...)
}
