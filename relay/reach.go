package relay

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/replicas"
)

const (
	// reachMost is the number of connections that are tried at once.
	reachMost = 12
	// reachedFor is how long a connection that was opened for a try is kept.
	reachedFor = 2 * time.Second
)

// lose takes a replica for lost that could not be connected to, with those that
// are likely cut off along with it. Their idle connections are closed.
func (f *Front) lose(r *replicas.Replica) {
	for _, lost := range f.Table.Lose(r) {
		f.Pool.drop(lost)
		f.Log.Event("lost", "dependency", "replica", "replica", lost.ID(), "zone", lost.Zone(), "with", r.ID())
	}
}

// reachLost tries connections to lost replicas until ctx ends, so that no
// request has to.
func (f *Front) reachLost(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(reachMost)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-timer.C:
		case <-f.Table.Losses():
		}
		f.Metrics.woke("reach")
		due, wait := f.Table.Due()
		for _, r := range due {
			group.Go(func() error {
				f.tryReach(ctx, r)
				return nil
			})
		}
		timer.Stop()
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

func (f *Front) tryReach(ctx context.Context, r *replicas.Replica) {
	c, err := dial(ctx, r.Address(), dialTimeout)
	if err != nil {
		return // the loss is in the log
	}
	f.Pool.put(r, c, reachedFor)
	if r.Reached(f.Clock.Now()) {
		f.Log.Event("regained", "dependency", "replica", "replica", r.ID(), "zone", r.Zone())
	}
}
