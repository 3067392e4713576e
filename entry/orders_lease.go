package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/store"
)

const (
	// leaseRenewals is the number of renewals within a lease's TTL.
	leaseRenewals = 3
	// revokeTimeout bounds the revocation of a lease that is released.
	revokeTimeout = time.Second
)

// errNoLease aborts an order whose sender does not hold the zone's lease.
var errNoLease = errors.New("the lease for the zone's orders has expired")

// Leases is the part of the store's lease API that an orderLease uses.
type Leases interface {
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error)
	KeepAlive(ctx context.Context, lease store.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, lease store.LeaseID) error
}

// orderLease is the right to send orders to the engines of one zone. The holder's
// key in the store is removed when its lease expires, and the revision at which the
// key was written is the fencing number.
type orderLease struct {
	store  Store
	leases Leases
	key    string
	name   string
	clock  peridotusher.Clock
	log    logrus.FieldLogger

	mu   sync.Mutex
	held heldLease
}

// heldLease is the holder's view of its lease. The zero value is no lease.
type heldLease struct {
	id         store.LeaseID
	fence      uint64
	acquiredAt time.Time
	validUntil time.Time // on the holder's clock, counted from before the call to the store
}

// current returns the lease, and whether it is valid now.
func (l *orderLease) current() (heldLease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held, l.held.id != store.NoLease && l.clock.Now().Before(l.held.validUntil)
}

// check returns an error unless the order's lease, given by its id, is still the
// current one and has not expired.
func (l *orderLease) check(id store.LeaseID) error {
	held, ok := l.current()
	if !ok || held.id != id {
		return errNoLease
	}
	return nil
}

// maintain renews the lease, or acquires it if this router is a candidate and the
// zone has no holder. A holder that is no longer a candidate releases it, because
// the engines' health is reported to the candidates.
func (l *orderLease) maintain(ctx context.Context, ttl time.Duration, candidate bool) {
	held, _ := l.current()
	switch {
	case held.id != store.NoLease && !candidate:
		l.release()
	case held.id != store.NoLease:
		l.renew(ctx, held)
	case candidate:
		l.acquire(ctx, ttl)
	}
}

func (l *orderLease) renew(ctx context.Context, held heldLease) {
	before := l.clock.Now()
	ttl, err := l.leases.KeepAlive(ctx, held.id)
	if errors.Is(err, store.ErrLeaseNotFound) {
		l.log.WithField("fence", held.fence).Warn("lease for the zone's orders lost")
		l.set(heldLease{})
		return
	}
	if err != nil {
		l.log.WithError(err).Warn("lease for the zone's orders not renewed")
		return
	}
	held.validUntil = before.Add(ttl)
	l.set(held)
}

// acquire acquires the lease by writing the holder's key, unless the key exists.
func (l *orderLease) acquire(ctx context.Context, ttl time.Duration) {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil || entry.Exists() {
		return
	}
	before := l.clock.Now()
	id, granted, err := l.leases.Grant(ctx, ttl)
	if err != nil {
		return
	}
	value := l.name + " " + uuid.NewString()
	swap, err := l.store.CompareAndSwap(ctx, l.key, 0, []byte(value), id)
	revision := swap.Revision()
	if err != nil {
		// The key may have been written although the response was lost.
		entry, err = l.store.Get(ctx, l.key)
		if err != nil || string(entry.Value()) != value {
			return
		}
		revision = entry.Revision()
	} else if !swap.Swapped() {
		return
	}
	l.set(heldLease{id: id, fence: uint64(revision), acquiredAt: l.clock.Now(), validUntil: before.Add(granted)})
	l.log.WithField("fence", revision).Info("lease for the zone's orders acquired")
}

// release revokes the lease, so that another router can acquire it at once.
func (l *orderLease) release() {
	held, ok := l.current()
	l.set(heldLease{})
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	// A lease that was not revoked expires by itself.
	_ = l.leases.Revoke(ctx, held.id)
}

func (l *orderLease) set(held heldLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
}

// raiseFence makes the fencing number higher than the one that an engine has seen.
// It can be lower after the store was restored from a backup.
func (l *orderLease) raiseFence(id store.LeaseID, seen uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.id == id && seen > l.held.fence {
		l.held.fence = seen + 1
		l.log.WithField("fence", l.held.fence).Warn("fencing number raised above the one that an engine has seen")
	}
}

// mayOrder returns whether orders may be sent to engines with the given handling of
// fencing numbers. Engines that ignore the number get no orders until those of the
// previous holder can no longer be in flight.
func (held heldLease) mayOrder(now time.Time, fencing document.Fencing, policy document.Rollout) bool {
	if fencing == document.FencingChecked {
		return true
	}
	return now.Sub(held.acquiredAt) >= policy.Lease()+policy.OrderTimeout()
}
