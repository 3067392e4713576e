package slowstart

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotusher.example/peridotusher/replicas"
)

const (
	// shareInterval is the time between two requests of one share. The bound holds for each
	// second; the interval is longer to allow for clocks that run at different rates.
	shareInterval = 1100 * time.Millisecond
	// learnTime is how long a router that has started takes to learn the number of routers, if
	// it receives heartbeats immediately. It is the same as learnTime in package mesh.
	learnTime = 2 * time.Second
	// partitionFactor divides the bound before it is divided into shares, since two partitions of
	// a fleet may use the same shares at the same time.
	partitionFactor = 2
	// maxShares bounds the number of shares of a replica, for very large configured bounds.
	maxShares = 1 << 20
)

// Limiter limits the requests of one router to cold replicas. Its fields are set before
// use; it is safe for concurrent use.
type Limiter struct {
	// Bound returns the number of requests that a cold replica of a service may receive from
	// all routers in any second; 0 if replicas of the service are never cold.
	Bound func(service string) float64
	// Share returns the router's rank in an order of all routers for a key, the number of
	// routers, and whether that number is known yet.
	Share func(key uint64) (rank, routers int, known bool)

	mu          sync.Mutex
	lastSends   map[string]*lastSend // by replica id, so that its restart does not reset the limit
	delayedFrom time.Time            // start of the latest delay for all replicas; zero if there was none
}

// lastSend is the last request of this router to a replica.
type lastSend struct {
	at      time.Time // when its share was taken, and once it is written, when that was
	writing bool      // whether it is still to be written
}

// Limits reports whether the requests to cold replicas of the service are limited.
func (l *Limiter) Limits(service string) bool { return l != nil && l.Bound(service) > 0 }

// Cold reports whether the replica is cold and the requests to it are therefore limited.
func (l *Limiter) Cold(r *replicas.Replica, now time.Time) bool {
	return l != nil && r.ColdRemaining(now) > 0 && l.Limits(r.Service())
}

// Allowed reports whether a request may be sent to the replica now.
func (l *Limiter) Allowed(r *replicas.Replica, now time.Time) bool {
	if !l.Cold(r, now) {
		return true
	}
	interval, _ := l.interval(r)
	return interval > 0 && l.shareDelay(r.ID(), now, interval) <= 0
}

// Acquire takes a share for a request that is about to be written to the replica, if one is free.
// The caller must call sent once the request is written. Until then the share stays taken, since
// the process may be paused in between.
func (l *Limiter) Acquire(r *replicas.Replica, now time.Time) (sent func(now time.Time), ok bool) {
	if !l.Cold(r, now) {
		return func(time.Time) {}, true
	}
	interval, _ := l.interval(r)
	if interval <= 0 {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shareDelayLocked(r.ID(), now, interval) > 0 {
		return nil, false
	}
	l.removeExpired(now)
	last := &lastSend{at: now, writing: true}
	l.lastSends[r.ID()] = last
	return func(now time.Time) { l.recordWritten(last, now) }, true
}

// recordWritten records that a request was written at now.
func (l *Limiter) recordWritten(last *lastSend, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last.writing = false
	if now.After(last.at) {
		last.at = now
	}
}

// Delay returns the time until a share for the replica is free or the replica is no longer cold;
// 0 if a request may be sent now. While the number of routers is unknown, it is at most
// learnTime.
func (l *Limiter) Delay(r *replicas.Replica, now time.Time) time.Duration {
	if !l.Cold(r, now) {
		return 0
	}
	interval, known := l.interval(r)
	switch {
	case !known:
		return min(learnTime, r.ColdRemaining(now))
	case interval <= 0:
		return r.ColdRemaining(now)
	}
	return min(l.shareDelay(r.ID(), now, interval), r.ColdRemaining(now))
}

// HasShare reports whether the router has any share for the replica while the replica is cold.
func (l *Limiter) HasShare(r *replicas.Replica) bool {
	interval, _ := l.interval(r)
	return interval > 0
}

// DelayAll must be called when the clock stood still until now. It delays all requests to cold
// replicas by shareInterval: by real time, the last ones may have been sent just before.
func (l *Limiter) DelayAll(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delayedFrom = now
}

// shareDelay returns the time until a share for the replica is free, if this router may send a
// request in each interval.
func (l *Limiter) shareDelay(id string, now time.Time, interval time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shareDelayLocked(id, now, interval)
}

// shareDelayLocked is shareDelay for a caller that holds l.mu.
func (l *Limiter) shareDelayLocked(id string, now time.Time, interval time.Duration) time.Duration {
	delay := time.Duration(0)
	if !l.delayedFrom.IsZero() {
		delay = max(shareInterval-now.Sub(l.delayedFrom), 0)
	}
	last := l.lastSends[id]
	switch {
	case last == nil:
		return delay
	case last.writing:
		return max(delay, interval)
	}
	return max(delay, interval-now.Sub(last.at))
}

// removeExpired removes the sends that no longer delay further ones; l.mu must be held.
func (l *Limiter) removeExpired(now time.Time) {
	if l.lastSends == nil {
		l.lastSends = make(map[string]*lastSend)
	}
	for id, last := range l.lastSends {
		if !last.writing && now.Sub(last.at) > shareInterval {
			delete(l.lastSends, id)
		}
	}
}

// interval returns the time between two requests of this router to the cold replica, 0 if it
// may send none, and whether the number of routers that share the bound is known.
func (l *Limiter) interval(r *replicas.Replica) (interval time.Duration, known bool) {
	rank, routers, known := l.Share(xxhash.Sum64String(r.ID()))
	if !known {
		return 0, false
	}
	own := ownShares(rank, routers, shareCount(l.Bound(r.Service())))
	if own == 0 {
		return 0, true
	}
	return shareInterval / time.Duration(own), true
}

// shareCount returns the number of shares that a bound allows. A share is one request in each
// spacing.
func shareCount(bound float64) int {
	return int(min(max(math.Floor(bound/partitionFactor), 1), maxShares))
}

// ownShares returns how many of the shares belong to the router with the rank. The shares are
// assigned in the order of the routers, so that all routers together never have more.
func ownShares(rank, routers, shares int) int {
	routers = max(routers, 1)
	own := shares / routers
	if rank < shares%routers {
		own++
	}
	return own
}
