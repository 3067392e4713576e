package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/routing"
)

const (
	// watchTimeout is how long the store is requested to hold a watch.
	watchTimeout = 28 * time.Second
	// minWatchInterval is the minimum time between two watches, which limits bursts of changes.
	minWatchInterval = 250 * time.Millisecond
	// maxWatchers is the maximum number of routers that watch the configuration. The others of a
	// larger fleet receive changes from them.
	maxWatchers = 6
	// watcherCheckInterval is the interval at which another router checks whether it has become a
	// watcher.
	watcherCheckInterval = time.Second
	// watchTopic determines the order of the routers, of which the first ones watch.
	watchTopic = "configuration"
	// joinPhase is the time after a start in which the other routers become known.
	joinPhase = time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call to the store.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 900 * time.Millisecond
)

// followConfiguration keeps the configuration current until ctx ends.
func (r *Router) followConfiguration(ctx context.Context) error {
	retry := pause.Backoff{Base: minRetryDelay, Max: maxRetryDelay}
	failures := 0
	var after peridotusher.Position // zero for a complete read
	joined := false
	for ctx.Err() == nil {
		r.countWakeUp("configuration")
		startedAt := r.clock.Now()
		if r.current.Load() != nil && r.node.Rank(watchTopic) >= maxWatchers {
			after = peridotusher.Position{} // start with a complete read when it becomes a watcher
			pause.For(ctx, watcherCheckInterval)
			continue
		}
		next, err := r.nextConfiguration(ctx, after)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if !errors.Is(err, errNewEpoch) {
				r.recordStoreCall("configuration", err)
			}
			after = peridotusher.Position{} // a complete read includes the changes missed meanwhile
			if errors.Is(err, errNewEpoch) {
				continue
			}
			pause.For(ctx, retry.Delay(failures))
			failures++
			continue
		}
		r.recordStoreCall("configuration", nil)
		failures = 0
		after = next
		if !joined && after.Revision != 0 {
			joined = true
			pause.For(ctx, joinPhase)
		}
		pause.For(ctx, minWatchInterval-r.clock.Now().Sub(startedAt))
	}
	return nil
}

// nextConfiguration reads the configuration or waits for one newer than after, and returns the
// position from which to continue.
func (r *Router) nextConfiguration(ctx context.Context, after peridotusher.Position) (peridotusher.Position, error) {
	if after.Revision == 0 {
		return r.readFirstConfiguration(ctx)
	}
	watch, leave := r.epoch.watchContext(ctx)
	defer leave(nil)
	doc, evacuations, next, err := r.Source.NextDocument(watch, after, watchTimeout)
	if errors.Is(context.Cause(watch), errNewEpoch) {
		return peridotusher.Position{}, errNewEpoch
	}
	r.mergeEvacuations(evacuations, "store")
	if err != nil {
		return peridotusher.Position{}, err
	}
	if doc != nil {
		r.applyConfiguration(doc, "store")
	}
	return next, nil
}

// readFirstConfiguration reads the complete configuration and returns the position from which to
// continue.
func (r *Router) readFirstConfiguration(ctx context.Context) (peridotusher.Position, error) {
	at, known, err := r.readConfiguration(ctx, "store")
	if err == nil && !known {
		pause.For(ctx, maxRetryDelay) // no configuration exists yet
	}
	return at, err
}

// readConfiguration reads the complete configuration and all evacuations and applies them. It
// returns the position from which to continue, and whether there is a configuration.
func (r *Router) readConfiguration(ctx context.Context, from string) (at peridotusher.Position, known bool, err error) {
	doc, evacuations, at, err := r.Source.Document(ctx)
	if err != nil && !errors.Is(err, routing.ErrMalformed) {
		return peridotusher.Position{}, false, err
	}
	if !r.recordStorePosition(at, from) {
		return peridotusher.Position{}, false, errOldEpoch
	}
	r.mergeEvacuationSnapshot(at, evacuations, from)
	if err != nil {
		return peridotusher.Position{}, false, err
	}
	if doc == nil {
		return peridotusher.Position{}, false, nil
	}
	r.applyConfiguration(doc, from)
	r.configCheck.recordCompleteRead(r.clock.Now(), at)
	return at, true, nil
}
