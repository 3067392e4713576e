package ratelimit

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// minShareRate is the lowest rate of a share, in requests a second. With it the buckets of all
	// shares together hold no more than what the rate allows in two seconds.
	minShareRate = 0.5
	// trialRate is the lowest rate at which a replica gets requests, in requests a second.
	trialRate = 0.2
	// burstTime is the time whose tokens a bucket holds, since requests do not arrive at equal
	// intervals.
	burstTime = 200 * time.Millisecond
	// learnTime is how long a router that has started takes at most to learn the number of routers. It
	// is the same as learnTime in package mesh.
	learnTime = 2 * time.Second
	// maxRetryAfter bounds the time after which a refused client is told to return.
	maxRetryAfter = 4 * time.Second
)

// Limiter limits the requests of one router to its share of the rates that replicas state. Its fields
// are set before use; it is safe for concurrent use.
type Limiter struct {
	Table *Table
	Clock peridotusher.Clock
	// Share returns the router's rank in an order of all routers for a key, the number of routers, and
	// whether that number is known yet.
	Share func(key uint64) (rank, routers int, known bool)

	mu      sync.Mutex
	buckets map[uint32]*peridotusher.TokenBucket // by replica
	// returns is when the last refused client of each service was told to return.
	returns map[string]time.Time
}

// Limited reports whether the replica limits its requests.
func (l *Limiter) Limited(replica uint32) bool {
	if l == nil {
		return false
	}
	_, limited := l.Table.Limit(replica)
	return limited
}

// Allowed reports whether this router may send a request to the replica now.
func (l *Limiter) Allowed(replica uint32) bool { return l.withToken(replica, false) }

// Take takes a token for a request that is about to be sent to the replica, and reports whether there
// was one.
func (l *Limiter) Take(replica uint32) bool { return l.withToken(replica, true) }

// withToken reports whether there is a token for the replica, and takes it if take is set.
func (l *Limiter) withToken(replica uint32, take bool) bool {
	if l == nil {
		return true
	}
	rate, limited := l.Table.Limit(replica)
	if !limited {
		return true
	}
	own := l.ownShare(replica, rate)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(replica, own)
	if b.Missing(1) > 0 {
		return false
	}
	if take {
		b.Take()
	}
	return true
}

// bucket returns the bucket of a replica, refilled by the share; l.mu must be held. It holds one token, or
// those of burstTime if that is more.
func (l *Limiter) bucket(replica uint32, own share) *peridotusher.TokenBucket {
	now := l.Clock.Now()
	b, ok := l.buckets[replica]
	if !ok {
		if l.buckets == nil {
			l.buckets = make(map[uint32]*peridotusher.TokenBucket)
		}
		started := peridotusher.NewTokenBucket(now, own.start)
		b = &started
		l.buckets[replica] = b
	}
	b.Refill(now, own.rate, max(1, own.rate*burstTime.Seconds()))
	return b
}

// share is the part of a replica's rate that a router may use.
type share struct {
	rate float64 // requests a second
	// start is the token that a new bucket holds already, which differs between routers, so that
	// they do not all send their first requests at the same time.
	start float64
}

// ownShare returns this router's share of a replica's rate. A router that does not know the number of
// routers yet has none.
func (l *Limiter) ownShare(replica uint32, rate float64) share {
	rank, routers, known := l.Share(uint64(replica))
	if !known {
		return share{}
	}
	return shareOf(rate, rank, routers)
}

// shareOf returns the share of the router with the rank. The first routers have equal shares of at
// least minShareRate, the others none.
func shareOf(rate float64, rank, routers int) share {
	rate = max(rate, trialRate)
	shares := min(max(int(rate/minShareRate), 1), max(routers, 1))
	if rank >= shares {
		return share{}
	}
	return share{rate: rate / float64(shares), start: float64(rank) / float64(shares)}
}

// RetryAfter returns when a client may return whose request is refused because the given replicas
// of a service have no tokens. Each refused client is told a later token than the one before.
func (l *Limiter) RetryAfter(service string, replicas []uint32) time.Duration {
	own, all := 0.0, 0.0
	routers := 1
	for _, replica := range replicas {
		rate, limited := l.Table.Limit(replica)
		if !limited {
			continue
		}
		own += l.ownShare(replica, rate).rate
		all += max(rate, trialRate)
		_, n, known := l.Share(uint64(replica))
		if !known {
			return learnTime
		}
		routers = max(routers, n)
	}
	rate := max(own, all/float64(routers))
	if rate <= 0 {
		return maxRetryAfter
	}
	return l.reserveReturn(service, time.Duration(float64(time.Second)/rate))
}

// reserveReturn returns the time until the token after the one that the last refused client of the
// service was told to return for.
func (l *Limiter) reserveReturn(service string, interval time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.returns == nil {
		l.returns = make(map[string]time.Time)
	}
	next := now
	if last := l.returns[service]; last.After(now) {
		next = last
	}
	next = next.Add(interval)
	if limit := now.Add(maxRetryAfter); next.After(limit) {
		next = limit
	}
	l.returns[service] = next
	return next.Sub(now)
}

// Expire removes the state of replicas that limit their requests no more, and of clients that may
// have returned.
func (l *Limiter) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for replica := range l.buckets {
		if _, limited := l.Table.Limit(replica); !limited {
			delete(l.buckets, replica)
		}
	}
	now := l.Clock.Now()
	for service, at := range l.returns {
		if !at.After(now) {
			delete(l.returns, service)
		}
	}
}
