package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"peridotusher.example/peridotusher/replicas"
)

// entryTimeout limits reading the entry of one replica, for which the end of an answer waits.
const entryTimeout = 500 * time.Millisecond

// errMayHaveExpired means that a missing entry may have expired during an outage of the store.
var errMayHaveExpired = errors.New("the entry may have expired during an outage of the store")

// registry implements relay.Registry with the platform's store.
type registry struct {
	router *Router
	reads  singleflight.Group // by replica id
}

// Entry implements relay.Registry. Many requests end together with their replica; concurrent calls
// share one read.
func (g *registry) Entry(ctx context.Context, r *replicas.Replica) (replicas.Entry, error) {
	v, err, _ := g.reads.Do(r.ID(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), entryTimeout)
		defer cancel()
		return g.router.readEntry(ctx, r.ID())
	})
	if err != nil {
		return replicas.Entry{}, err
	}
	return v.(replicas.Entry), nil
}

// readEntry reads the entry of a replica and merges it into the table.
func (r *Router) readEntry(ctx context.Context, id string) (replicas.Entry, error) {
	e, err := r.Source.Replica(ctx, id)
	if err != nil {
		return e, err
	}
	if e.Removed && r.sinceOutage() < outageGracePeriod {
		return e, errMayHaveExpired
	}
	if !e.Removed {
		r.publishChanges("store", r.table.Merge([]replicas.Entry{e}))
	}
	return e, nil
}

// Lag implements relay.Registry. What is learned during an outage of the store or after it may have been
// in the store for longer than a replica goes on serving.
func (g *registry) Lag() time.Duration {
	if g.router.learnsLate() {
		return g.router.bounds.Load().drainTime
	}
	return g.router.outageGap()
}

// learnsLate reports whether changes may reach this router later than the drain time of a replica: the
// last list is too old, or an outage of the store ended less than a drain time ago.
func (r *Router) learnsLate() bool {
	readAt, _ := r.lists.latest()
	return r.sinceOutage() < r.bounds.Load().drainTime || r.clock.Now().Sub(readAt) > r.outageGap()
}

// sinceOutage returns how long ago the last known outage of the store ended.
func (r *Router) sinceOutage() time.Duration {
	_, outageEnd := r.lists.latest()
	return r.clock.Now().Sub(outageEnd)
}
