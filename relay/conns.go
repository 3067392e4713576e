package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// idleMargin is added to the idle timeout, so that a client that reuses a
	// connection shortly before the timeout does not meet the close.
	idleMargin = time.Second
	// idleEvery is the time between two looks for idle connections.
	idleEvery = time.Second
)

// connTable closes the connections of clients that are idle too long. The limit
// may change while connections are open.
type connTable struct {
	clock    peridotusher.Clock
	stopping func() bool

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newConnTable(clock peridotusher.Clock, stopping func() bool) *connTable {
	return &connTable{clock: clock, stopping: stopping, idle: make(map[net.Conn]time.Time)}
}

// state is the server's ConnState hook. An answer that was begun before a stop did
// not announce that its connection ends: it is closed together with the answer,
// when the client cannot yet have sent another request.
func (t *connTable) state(c net.Conn, s http.ConnState) {
	if s == http.StateIdle && t.stopping() {
		_ = c.Close() // the server notices
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s == http.StateIdle {
		t.idle[c] = t.clock.Now()
		return
	}
	delete(t.idle, c)
}

// closeIdle closes connections that are idle longer than limit, until ctx ends.
func (t *connTable) closeIdle(ctx context.Context, limit func() time.Duration) {
	tick := time.NewTicker(idleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if d := limit(); d > 0 {
				t.closeBefore(t.clock.Now().Add(-d - idleMargin))
			}
		}
	}
}

func (t *connTable) closeBefore(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, at := range t.idle {
		if at.Before(since) {
			_ = c.Close() // no request is on it
			delete(t.idle, c)
		}
	}
}
