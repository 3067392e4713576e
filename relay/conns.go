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
	// limitMargin is added to the limits of time, so that a client that keeps to one
	// of them does not meet the close.
	limitMargin = time.Second
	// limitEvery is the time between two looks for connections beyond a limit.
	limitEvery = time.Second
)

// connLimits are how long a new connection may take for its first request's head, and
// how long a connection may be idle; 0 for any time.
type connLimits struct{ head, idle time.Duration }

// connTable closes the connections of clients that take too long. The limits may
// change while connections are open.
type connTable struct {
	clock    peridotusher.Clock
	stopping func() bool

	mu    sync.Mutex
	fresh map[net.Conn]time.Time // without a request yet, by when they came
	idle  map[net.Conn]time.Time // after an answer, by its end
	// looked is when the table was looked through last.
	looked time.Time
}

func newConnTable(clock peridotusher.Clock, stopping func() bool) *connTable {
	return &connTable{clock: clock, stopping: stopping, fresh: make(map[net.Conn]time.Time), idle: make(map[net.Conn]time.Time)}
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
	delete(t.fresh, c)
	delete(t.idle, c)
	switch s {
	case http.StateNew:
		t.fresh[c] = t.clock.Now()
	case http.StateIdle:
		t.idle[c] = t.clock.Now()
	}
}

// closeLate closes connections beyond the limits, until ctx ends.
func (t *connTable) closeLate(ctx context.Context, limits func() connLimits) {
	tick := time.NewTicker(limitEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.look(limits())
		}
	}
}

// look closes the connections that are beyond the limits now. After a standstill of
// the process requests may have come that are not read yet: all limits begin anew.
func (t *connTable) look(limits connLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	stood := !t.looked.IsZero() && now.Sub(t.looked) > 2*limitEvery
	t.looked = now
	if stood {
		restart(t.fresh, now)
		restart(t.idle, now)
		return
	}
	closeBefore(t.fresh, now, limits.head)
	closeBefore(t.idle, now, limits.idle)
}

func restart(conns map[net.Conn]time.Time, now time.Time) {
	for c := range conns {
		conns[c] = now
	}
}

// closeBefore closes the connections that are older than the limit; no request is on
// them.
func closeBefore(conns map[net.Conn]time.Time, now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	for c, at := range conns {
		if now.Sub(at) > limit+limitMargin {
			_ = c.Close() // the server notices
			delete(conns, c)
		}
	}
}
