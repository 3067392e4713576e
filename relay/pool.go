package relay

import (
	"context"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

const (
	// idlePerReplica is the number of idle connections kept to a replica.
	idlePerReplica = 6
	// freshFor is how long an idle connection is trusted with a request that
	// may not be repeated: the replica may close it at any moment.
	freshFor = 600 * time.Millisecond
	// dialTimeout bounds the set-up of a connection, some round trips between
	// zones; a lost opening packet is sent again after a second only, so that
	// another replica is tried before.
	dialTimeout = 150 * time.Millisecond
)

// Pool keeps idle connections to replicas. It is safe for concurrent use.
type Pool struct {
	clock peridotusher.Clock

	mu   sync.Mutex
	idle map[string][]*conn // by replica id, most recently used last
}

// NewPool returns an empty Pool.
func NewPool(clock peridotusher.Clock) *Pool {
	return &Pool{clock: clock, idle: make(map[string][]*conn)}
}

// get returns an idle connection that is open and quiet, or a new one. once is
// set for requests that may not be repeated.
func (p *Pool) get(ctx context.Context, r *replicas.Replica, once bool) (*conn, error) {
	for {
		c := p.take(r.ID())
		if c == nil {
			return dial(ctx, r.Address(), dialTimeout)
		}
		now := p.clock.Now()
		if c.kept(now) && (!once || now.Sub(c.idle) < freshFor) && c.quiet() {
			return c, nil
		}
		_ = c.Close() // an idle connection has nothing to lose
	}
}

func (p *Pool) take(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return c
}

// kept reports whether the replica keeps the idle connection open for some time
// yet, as far as its answer told.
func (c *conn) kept(now time.Time) bool { return now.Sub(c.idle) < c.lasts*3/5 }

// put keeps a connection whose answer has ended.
func (p *Pool) put(r *replicas.Replica, c *conn, lasts time.Duration) {
	if lasts <= 0 || c.br.Buffered() > 0 {
		_ = c.Close() // nothing to lose
		return
	}
	c.idle, c.lasts = p.clock.Now(), lasts
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[r.ID()]) >= idlePerReplica {
		_ = c.Close() // nothing to lose
		return
	}
	p.idle[r.ID()] = append(p.idle[r.ID()], c)
}

// drop closes the idle connections to a replica.
func (p *Pool) drop(r *replicas.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[r.ID()] {
		_ = c.Close() // nothing to lose
	}
	delete(p.idle, r.ID())
}

// Prune closes connections that have been idle too long to be used.
func (p *Pool) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.kept(now) {
				kept = append(kept, c)
			} else {
				_ = c.Close() // nothing to lose
			}
		}
		if len(kept) == 0 {
			delete(p.idle, id)
		} else {
			p.idle[id] = kept
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		for _, c := range list {
			_ = c.Close() // nothing to lose
		}
		delete(p.idle, id)
	}
}
