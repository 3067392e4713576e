package httpserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

// drainInterval is the interval of checks for idle connections while a server stops.
const drainInterval = 10 * time.Millisecond

// ErrNotDrained means that a stop had no time left for connections with requests in flight.
var ErrNotDrained = errors.New("requests were in flight at the end of the stop")

// Conn is a connection that can be closed without cutting a request off. A tcp.Gate implements most of it.
type Conn interface {
	net.Conn
	// MarkIdle records that everything received so far has been answered.
	MarkIdle()
	// CloseIfIdle closes the connection unless a part of a request was received since MarkIdle.
	CloseIfIdle()
	// IsClosed reports whether the connection was closed, also if it lingers.
	IsClosed() bool
}

// Conns tracks the connections of a server, all of which are a Conn, and closes those that serve no request.
// http.Server.Shutdown does not do for that: it drops requests that it reads on connections that are open
// still. Its fields are set before the first connection.
type Conns struct {
	Clock peridotusher.Clock

	mu     sync.Mutex
	states map[Conn]connState
}

// connState is the state of a connection since a time.
type connState struct {
	state http.ConnState
	since time.Time
}

// Track is the server's ConnState hook.
func (t *Conns) Track(nc net.Conn, state http.ConnState) {
	c, ok := nc.(Conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(t.states, c)
		return
	case http.StateIdle:
		c.MarkIdle()
	}
	if t.states == nil {
		t.states = make(map[Conn]connState)
	}
	t.states[c] = connState{state, t.Clock.Now()}
}

// Count returns the number of connections in a state.
func (t *Conns) Count(state http.ConnState) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.states {
		if s.state == state {
			n++
		}
	}
	return n
}

// CloseNew closes the connections that were opened at least age ago and on which no request was read
// completely.
func (t *Conns) CloseNew(age time.Duration) {
	t.each(http.StateNew, age, func(c Conn) { _ = c.Close() }) // the server notices
}

// CloseIdle closes the connections that have been idle for at least age.
func (t *Conns) CloseIdle(age time.Duration) { t.each(http.StateIdle, age, Conn.CloseIfIdle) }

// Restart makes the ages of all connections begin anew.
func (t *Conns) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for c, s := range t.states {
		t.states[c] = connState{s.state, now}
	}
}

// each calls f for the connections that have been in a state for at least age. The server cannot begin to
// handle a request on them meanwhile, since it waits for Track.
func (t *Conns) each(state http.ConnState, age time.Duration, f func(Conn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for c, s := range t.states {
		if s.state == state && now.Sub(s.since) >= age {
			f(c)
		}
	}
}

// Drain waits until no connection is left. It closes those without a request that have been idle or new for
// at least idle, and at the end of ctx all of these. Then it returns ErrNotDrained if others are left.
func (t *Conns) Drain(ctx context.Context, idle time.Duration) error {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for {
		t.closeUnused(idle)
		if t.open() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			t.closeUnused(0)
			if t.Count(http.StateActive) > 0 {
				return ErrNotDrained
			}
			return nil
		case <-tick.C:
		}
	}
}

// closeUnused closes the connections without a request that have been idle or new for at least age.
func (t *Conns) closeUnused(age time.Duration) {
	t.each(http.StateNew, age, Conn.CloseIfIdle)
	t.CloseIdle(age)
}

// open returns the number of connections.
func (t *Conns) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.states)
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// Context is the server's ConnContext hook.
func (t *Conns) Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that serves no request whose connection was closed after it had been read.
func (t *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(Conn); ok && c.IsClosed() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
