package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

const (
	// maxIdlePerReplica is the maximum number of idle connections to a replica.
	maxIdlePerReplica = 6
	// maxIdleUnrepeatable is the maximum idle time of a connection that is reused for a request
	// that must not be sent twice, since the replica may close an idle connection at any time.
	maxIdleUnrepeatable = 600 * time.Millisecond
	// dialTimeout allows some round trips between zones. It is below the 1 s after which a lost
	// SYN is retransmitted, so that another replica is tried first.
	dialTimeout = 150 * time.Millisecond
)

// Pool keeps idle connections to replicas. It is safe for concurrent use.
type Pool struct {
	clock peridotusher.Clock

	mu   sync.Mutex
	idle map[string][]*conn // by replica id, most recently used last
	// sending are the connections on which long bodies are sent.
	sending map[*conn]struct{}
}

// NewPool returns an empty Pool.
func NewPool(clock peridotusher.Clock) *Pool {
	return &Pool{clock: clock, idle: make(map[string][]*conn), sending: make(map[*conn]struct{})}
}

// watchAcks keeps the TCP_USER_TIMEOUT of a connection up to date while a long body is sent on it:
// the replica may pause before it has read the body. The returned function ends that.
func (p *Pool) watchAcks(c *conn) (stop func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sending[c] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.sending, c)
	}
}

// updateAckTimeouts updates the timeouts of the connections on which long bodies are sent and resets
// those whose replica is unreachable.
func (p *Pool) updateAckTimeouts() {
	p.mu.Lock()
	sending := slices.Collect(maps.Keys(p.sending))
	p.mu.Unlock()
	for _, c := range sending {
		if _, err := c.acks.Update(); err != nil {
			c.reset() // a pending read or write ends with an error
		}
	}
}

// get returns an idle connection that is open and quiet, or a new one.
func (p *Pool) get(ctx context.Context, r *replicas.Replica, notRepeatable bool) (*conn, error) {
	for {
		c := p.pop(r.ID())
		if c == nil {
			return dial(ctx, r.Address(), dialTimeout)
		}
		now := p.clock.Now()
		if c.isReusable(now) && (!notRepeatable || now.Sub(c.idleSince) < maxIdleUnrepeatable) && c.isQuiet() {
			return c, nil
		}
		_ = c.Close() // an idle connection has nothing to lose
	}
}

func (p *Pool) pop(id string) *conn {
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

// isReusable reports whether the replica is expected to keep the idle connection open for some
// more time, according to its last answer.
func (c *conn) isReusable(now time.Time) bool { return now.Sub(c.idleSince) < c.keepAlive*3/5 }

// put adds the connection of a finished answer to the pool.
func (p *Pool) put(r *replicas.Replica, c *conn, keepAlive time.Duration) {
	if keepAlive <= 0 || c.br.Buffered() > 0 {
		_ = c.Close() // nothing to lose
		return
	}
	c.idleSince, c.keepAlive = p.clock.Now(), keepAlive
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[r.ID()]) >= maxIdlePerReplica {
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
			if c.isReusable(now) {
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
