package relay

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/replicas"
)

const (
	// maxConcurrentProbes is the maximum number of concurrent connection attempts.
	maxConcurrentProbes = 12
	// probedConnTTL is how long a connection that was opened by a probe is kept in the pool.
	probedConnTTL = 2 * time.Second
)

// markUnreachable marks a replica that could not be connected to as unreachable, together with
// those that are likely affected by the same outage. Their idle connections are closed.
func (f *Proxy) markUnreachable(r *replicas.Replica) {
	for _, unreachable := range f.Table.MarkUnreachable(r) {
		f.Pool.drop(unreachable)
		f.Log.Event("lost", "dependency", "replica", "replica", unreachable.ID(), "zone", unreachable.Zone(), "with", r.ID())
	}
}

// probeUnreachable tries to connect to unreachable replicas until ctx ends, so that no request
// has to.
func (f *Proxy) probeUnreachable(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-timer.C:
		case <-f.Table.UnreachableSignal():
		}
		f.Metrics.countWakeUp("reach")
		due, wait := f.Table.DueProbes()
		for _, r := range due {
			group.Go(func() error {
				f.probe(ctx, r)
				return nil
			})
		}
		timer.Stop()
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

func (f *Proxy) probe(ctx context.Context, r *replicas.Replica) {
	c, err := dial(ctx, r.Address(), dialTimeout)
	if err != nil {
		f.Table.ProbeFailed(r)
		return // logged when it became unreachable
	}
	f.Pool.put(r, c, probedConnTTL)
	if f.Table.MarkReachable(r) {
		f.Log.Event("regained", "dependency", "replica", "replica", r.ID(), "zone", r.Zone())
	}
}
