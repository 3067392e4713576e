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
	// limitMargin is added to the limits, so that clients that just observe them are not
	// disconnected.
	limitMargin = time.Second
	// limitCheckInterval is the interval of checks for connections beyond a limit.
	limitCheckInterval = time.Second
)

// connLimits limits how long a new connection may take until the head of its first request is
// read, and how long a connection may be idle; 0 means no limit.
type connLimits struct{ head, idle time.Duration }

// connTable closes client connections that exceed the time limits. The limits may change while
// connections are open.
type connTable struct {
	clock peridotusher.Clock

	mu           sync.Mutex
	awaitingHead map[net.Conn]time.Time // connections without a request so far, by the time they were opened
	idle         map[net.Conn]time.Time // idle connections, by the end of their latest answer
	// lastCheck is when closeExpired ran last.
	lastCheck time.Time
}

func newConnTable(clock peridotusher.Clock) *connTable {
	return &connTable{clock: clock, awaitingHead: make(map[net.Conn]time.Time), idle: make(map[net.Conn]time.Time)}
}

// state is the server's ConnState hook.
func (t *connTable) state(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.awaitingHead, c)
	delete(t.idle, c)
	switch s {
	case http.StateNew:
		t.awaitingHead[c] = t.clock.Now()
	case http.StateIdle:
		t.idle[c] = t.clock.Now()
	}
}

// run closes connections beyond the limits until ctx ends.
func (t *connTable) run(ctx context.Context, limits func() connLimits) {
	tick := time.NewTicker(limitCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.closeExpired(limits())
		}
	}
}

// closeExpired closes the connections that are beyond the limits. If the process was suspended,
// requests may have arrived that are not read yet; then all limits start anew.
func (t *connTable) closeExpired(limits connLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	suspended := !t.lastCheck.IsZero() && now.Sub(t.lastCheck) > 2*limitCheckInterval
	t.lastCheck = now
	if suspended {
		resetTimes(t.awaitingHead, now)
		resetTimes(t.idle, now)
		return
	}
	closeOlder(t.awaitingHead, now, limits.head)
	closeOlder(t.idle, now, limits.idle)
}

func resetTimes(conns map[net.Conn]time.Time, now time.Time) {
	for c := range conns {
		conns[c] = now
	}
}

// closeOlder closes the connections that are older than the limit. No request is running on them.
func closeOlder(conns map[net.Conn]time.Time, now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	for c, since := range conns {
		if now.Sub(since) > limit+limitMargin {
			_ = c.Close() // the server notices
			delete(conns, c)
		}
	}
}
