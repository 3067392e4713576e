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
	// leaseRenewals is the number of renewals in the time of a lease.
	leaseRenewals = 3
	// revokeTimeout bounds the return of a lease at a graceful shutdown.
	revokeTimeout = time.Second
)

// errNoLease aborts an order whose giver does not hold the zone's lease.
var errNoLease = errors.New("the lease of the zone's orders has lapsed")

// Leases is what the order-giver needs of the store's leases.
type Leases interface {
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error)
	KeepAlive(ctx context.Context, lease store.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, lease store.LeaseID) error
}

// orderLease is the right to give the orders of one zone. The holder's key in
// the store vanishes with its lease, and the revision at which the key was
// written is the fencing number.
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

// heldLease is a lease as its holder knows it.
type heldLease struct {
	id       store.LeaseID
	fence    uint64
	acquired time.Time
	until    time.Time // on the holder's clock, counted from before the store's call
}

// current returns the lease, and whether it holds at the time now.
func (l *orderLease) current() (heldLease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held, l.held.id != store.NoLease && l.clock.Now().Before(l.held.until)
}

// check returns an error unless the lease is the one that an order began under
// and has not lapsed.
func (l *orderLease) check(id store.LeaseID) error {
	held, ok := l.current()
	if !ok || held.id != id {
		return errNoLease
	}
	return nil
}

// maintain renews the lease, or takes it if this router is a candidate and the
// zone has no holder. A holder that is no candidate any more gives it back,
// because the reports on the engines' health go to the candidates.
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
	if errors.Is(err, store.ErrLeaseGone) {
		l.log.WithField("fence", held.fence).Warn("lease of the zone's orders lost")
		l.set(heldLease{})
		return
	}
	if err != nil {
		l.log.WithError(err).Warn("lease of the zone's orders not renewed")
		return
	}
	held.until = before.Add(ttl)
	l.set(held)
}

// acquire writes the holder's key if there is none.
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
		// The answer may have been lost after the write.
		entry, err = l.store.Get(ctx, l.key)
		if err != nil || string(entry.Value()) != value {
			return
		}
		revision = entry.Revision()
	} else if !swap.Swapped() {
		return
	}
	l.set(heldLease{id: id, fence: uint64(revision), acquired: l.clock.Now(), until: before.Add(granted)})
	l.log.WithField("fence", revision).Info("lease of the zone's orders taken")
}

// release ends the lease, so that another router takes over at once.
func (l *orderLease) release() {
	held, ok := l.current()
	l.set(heldLease{})
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	// A lease that stays lapses by itself.
	_ = l.leases.Revoke(ctx, held.id)
}

func (l *orderLease) set(held heldLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
}

// raise makes the fencing number higher than one that an engine has seen, as
// after a restore of the store from a backup.
func (l *orderLease) raise(id store.LeaseID, seen uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.id == id && seen > l.held.fence {
		l.held.fence = seen + 1
		l.log.WithField("fence", l.held.fence).Warn("fencing number raised above an engine's")
	}
}

// mayOrder returns whether orders may go to engines of the given kind. Engines
// that ignore the fencing number get none until an order of the last holder
// cannot be on its way any more.
func (held heldLease) mayOrder(now time.Time, fencing document.Fencing, policy document.Rollout) bool {
	if fencing == document.FencingChecked {
		return true
	}
	return now.Sub(held.acquired) >= policy.Lease()+policy.Flight()
}
