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
	// startTimeout limits the wait until every router is ready.
	startTimeout = 20 * time.Second
	// stopPause is the delay from the start of the traffic to the planned stops.
	stopPause = 2 * time.Second
)

// Demo configures one run.
type Demo struct {
	Out  io.Writer
	Log  logrus.FieldLogger
	Seed uint64
	// Stay keeps the fleet running after the traffic until ctx is canceled.
	Stay bool
	// Settings is the folder in which to write the settings file of one more router, which can
	// be started as a separate process. Nothing is written if it is empty.
	Settings string
}

// Run starts the fleet, sends the traffic and prints the summary. It returns an error if an
// answer was not complete or an action ran more than once.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	f, err := newFleet(ctx, group, d.Log, d.Seed)
	if err != nil {
		return err
	}
	d.printLine("started %d routers, %d model engines and %d service replicas in %d availability zones", len(f.routers), len(f.engines), len(f.services), len(zones))
	if err := f.waitReady(ctx, startTimeout); err != nil {
		return err
	}
	d.printLine("every router is ready; sending requests")
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
		return d.keepRunning(ctx, f)
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

// plannedStops gracefully stops one router and one engine while requests are in flight.
func (d *Demo) plannedStops(ctx context.Context, f *fleet) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(stopPause):
	}
	router := f.routers[0]
	d.printLine("stopping router %s gracefully", router.name)
	router.stop()
	engine := f.engines[0]
	d.printLine("taking engine %s out of service", engine.Name)
	return f.drainEngine(ctx, engine)
}

func (d *Demo) printLine(format string, args ...any) {
	fmt.Fprintf(d.Out, format+"\n", args...)
}
