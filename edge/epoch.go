package edge

import (
	"context"
	"math"
	"sync"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

// errOldEpoch is returned for a response from before the store was restored from a backup,
// errNewEpoch for a watch that was canceled because the store was restored.
var (
	errOldEpoch = errors.New("the store was restored from a backup in the meantime")
	errNewEpoch = errors.New("the store was set up again from a copy")
)

// maxEpochJump limits how far an epoch that a peer reports may exceed the known one. Epochs rise
// by one, and a router that missed more of them gets the epoch from the store.
const maxEpochJump = 64

// unknownRevision stands for the first revision of an epoch if none of its revisions is known.
const unknownRevision = math.MaxInt64

// epochTracker tracks the epoch of the store's history. A store that is restored from a backup
// begins the next epoch. Configurations and replicas read in an earlier epoch are still of use,
// but revisions of different epochs cannot be compared.
type epochTracker struct {
	mu            sync.Mutex
	known         bool
	epoch         int64
	firstRevision int64 // lowest revision of the epoch that any router saw
	cancelWatch   context.CancelCauseFunc
}

// position returns the epoch and its lowest known revision, as published to other routers, with
// revision 0 if no epoch is known.
func (e *epochTracker) position() peridotusher.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return peridotusher.Position{Epoch: e.epoch, Revision: e.firstRevision}
}

// record records a position of the store, with revision 0 if that is unknown; fromPeer is whether
// another router reported it. newEpoch is whether the position begins an epoch that follows a known
// one, old whether it belongs to an earlier epoch or is implausible, and changed whether the
// tracker's position changed.
func (e *epochTracker) record(at peridotusher.Position, fromPeer bool) (newEpoch, old, changed bool) {
	unknown := at == peridotusher.Position{}
	if at.Revision == 0 {
		at.Revision = unknownRevision
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case unknown: // the peer knows no epoch, or the store was never restored
		return false, e.epoch > 0, false
	case fromPeer && e.known && at.Epoch > e.epoch+maxEpochJump:
		return false, true, false
	case !e.known || at.Epoch > e.epoch:
		newEpoch = e.known
		e.known, e.epoch, e.firstRevision = true, at.Epoch, at.Revision
		if newEpoch && e.cancelWatch != nil {
			e.cancelWatch(errNewEpoch)
		}
		return newEpoch, false, true
	case at.Epoch < e.epoch:
		return false, true, false
	}
	changed = at.Revision < e.firstRevision
	e.firstRevision = min(e.firstRevision, at.Revision)
	return false, false, changed
}

// plausible reports whether an epoch that another router reports is not too far ahead.
func (e *epochTracker) plausible(epoch int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.known || epoch <= e.epoch+maxEpochJump
}

// watchContext returns a context for a watch that is canceled when a new epoch begins.
func (e *epochTracker) watchContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelWatch = cancel
	return ctx, cancel
}

// recordStorePosition records a position that was read from the store. It reports whether the
// position belongs to the current epoch or begins the next one. A new epoch is published to the
// other routers at once, and entries that the backup lacks get time to be written again.
func (r *Router) recordStorePosition(at peridotusher.Position, from string) bool {
	return r.recordPosition(at, from, false)
}

// recordPeerPosition is recordStorePosition for a position that another router reported.
func (r *Router) recordPeerPosition(at peridotusher.Position, from string) bool {
	return r.recordPosition(at, from, true)
}

func (r *Router) recordPosition(at peridotusher.Position, from string, fromPeer bool) bool {
	newEpoch, old, changed := r.epoch.record(at, fromPeer)
	if changed {
		store := r.epoch.position()
		r.table.SetEpoch(store.Epoch, store.Revision)
	}
	if newEpoch {
		r.lists.beginEpoch(r.clock.Now())
		r.Log.Event("epoch", "epoch", at.Epoch, "revision", at.Revision, "from", from, "version", r.current.Version(), "replicas", r.table.Count())
		r.metricSet.GetOrCreateCounter("peridotusher_store_epochs_total").Inc()
		r.node.Broadcast()
	}
	return !old
}
