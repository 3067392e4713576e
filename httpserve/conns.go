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

const (
	// drainInterval is the interval of checks for unused connections while a server stops.
	drainInterval = 10 * time.Millisecond
	// suspensionThreshold is the time between two of these checks from which on the process was suspended,
	// so that requests may have arrived that are not read yet.
	suspensionThreshold = 200 * time.Millisecond
)

// ErrNotDrained means that requests were in flight at the end of a stop.
var ErrNotDrained = errors.New("requests were in flight at the end of the stop")

// Conn is a connection that can be closed without losing a request. An embedded Gate implements most of it.
type Conn interface {
	net.Conn
	// BeginRequest records that the head of a request was parsed, and the length of its body, -1 if it is in
	// chunks. It returns false if the connection was closed before, so that the request must not be served.
	BeginRequest(length int64) bool
	// MarkIdle records that the request that was read last has been answered.
	MarkIdle()
	// IsReceiving reports whether a part of a request was read since MarkIdle.
	IsReceiving() bool
	// CloseIfIdle closes the connection unless it IsReceiving.
	CloseIfIdle()
	// IsClosed reports whether the connection was closed, also if it lingers.
	IsClosed() bool
}

// Limits are the times after which connections without a request are closed; 0 means never.
type Limits struct {
	// Head is the longest time from the opening of a connection, or from the first byte of a later request, until
	// the head of the request has been read.
	Head time.Duration
	// New is the longest time from the opening of a connection until the first byte of its first request.
	New time.Duration
	// Idle is the longest time between the end of an answer and the first byte of the next request.
	Idle time.Duration
}

// Conns tracks the connections of a server, each of which is a Conn, and closes those without a request. Its
// fields are set before the first connection.
type Conns struct {
	Clock peridotusher.Clock

	mu    sync.Mutex
	conns map[Conn]*connState
}

// connState is the state of a connection.
type connState struct {
	state          http.ConnState
	since          time.Time // when the state began
	receivingSince time.Time // when a part of the next request was noticed; zero if there is none
}

// isUnused reports whether no request is being handled. http.Server leaves these states only once it has read
// the whole head of a request.
func (s *connState) isUnused() bool { return s.state == http.StateNew || s.state == http.StateIdle }

// Track is the server's ConnState hook.
func (t *Conns) Track(nc net.Conn, state http.ConnState) {
	c := nc.(Conn) // as all connections that the listener returns
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
		return
	case http.StateIdle:
		c.MarkIdle()
	}
	if t.conns == nil {
		t.conns = make(map[Conn]*connState)
	}
	t.conns[c] = &connState{state: state, since: t.Clock.Now()}
}

// Count returns the number of connections in a state.
func (t *Conns) Count(state http.ConnState) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.conns {
		if s.state == state {
			n++
		}
	}
	return n
}

// ResetTimes begins the times to which the limits apply anew, after the process was suspended.
func (t *Conns) ResetTimes() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, s := range t.conns {
		s.since, s.receivingSince = now, time.Time{}
	}
}

// CloseUnused closes the connections without a request that are beyond the limits. The server begins to handle
// no request on them meanwhile, since it waits for Track.
func (t *Conns) CloseUnused(limits Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for c, s := range t.conns {
		if !s.isUnused() {
			continue
		}
		s.noteReceiving(c.IsReceiving(), now)
		switch {
		case isReached(limits.Head, s.headSince(), now):
			_ = c.Close() // the server notices
		case isReached(s.waitLimit(limits), s.since, now):
			c.CloseIfIdle()
		}
	}
}

// waitLimit returns the limit of the time until the first byte of a request.
func (s *connState) waitLimit(limits Limits) time.Duration {
	if s.state == http.StateNew {
		return limits.New
	}
	return limits.Idle
}

// isReached reports whether a limit, 0 for none, is reached since a time, zero for none.
func isReached(limit time.Duration, since, now time.Time) bool {
	return limit > 0 && !since.IsZero() && now.Sub(since) >= limit
}

// noteReceiving records whether a part of the next request has been read.
func (s *connState) noteReceiving(receiving bool, now time.Time) {
	if !receiving {
		s.receivingSince = time.Time{}
		return
	}
	if s.receivingSince.IsZero() {
		s.receivingSince = now
	}
}

// headSince returns the time from which the limit for the head of the next request counts; zero if none has
// begun.
func (s *connState) headSince() time.Time {
	if s.state == http.StateNew {
		return s.since
	}
	return s.receivingSince
}

// Drain waits until no connection is left, and closes those without a request that are beyond the limits. At the
// end of ctx it closes all that are idle, and returns ErrNotDrained if requests are in flight.
func (t *Conns) Drain(ctx context.Context, limits Limits) error {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for last := t.Clock.Now(); ; {
		now := t.Clock.Now()
		if now.Sub(last) > suspensionThreshold {
			t.ResetTimes()
		}
		last = now
		t.CloseUnused(limits)
		if t.open() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			t.CloseUnused(Limits{New: time.Nanosecond, Idle: time.Nanosecond}) // whatever their age
			if t.Count(http.StateActive) > 0 {
				return ErrNotDrained
			}
			return nil
		case <-tick.C:
		}
	}
}

// open returns the number of connections.
func (t *Conns) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// WithConn is the ConnContext hook of a server with Conns.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, or nil if it is not known.
func ConnOf(ctx context.Context) Conn {
	c, _ := ctx.Value(connKey{}).(Conn)
	return c
}

// TrackRequests returns a handler that tells each Conn of its requests. It serves no request whose connection
// was closed after it had been read.
func TrackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r.Context()); c != nil && (c.IsClosed() || !c.BeginRequest(r.ContentLength)) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
