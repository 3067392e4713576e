package tcp

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// lingerTimeout limits how long a connection lingers, and how long the kernel goes on delivering
	// what is left after a Stop.
	lingerTimeout = 15 * time.Second
	// minLingerInterval is the time until the first check of a lingering connection.
	minLingerInterval = 20 * time.Millisecond
	// MaxLingerInterval bounds the time between two checks, which doubles with each check.
	MaxLingerInterval = 640 * time.Millisecond
	// awaitInterval is the interval of checks whether any connection lingers.
	awaitInterval = 10 * time.Millisecond
)

// Closer closes connections once their peers have acknowledged everything. Until then they linger: once
// a connection is closed, nobody can lift its TCP_USER_TIMEOUT any more for a peer that pauses, and what
// the kernel still holds may be lost with the process. It is safe for concurrent use.
type Closer struct {
	mu        sync.Mutex
	lingering map[net.Conn]*lingering
	stopped   bool
}

// lingering is a connection whose peer has not acknowledged everything.
type lingering struct {
	conn     net.Conn
	acks     *Acks
	onClose  func()
	deadline time.Time
	interval time.Duration // until the next check; guarded by the Closer's mu
	timer    *time.Timer   // guarded by the Closer's mu
}

// NewCloser returns a Closer.
func NewCloser() *Closer { return &Closer{lingering: make(map[net.Conn]*lingering)} }

// Close half-closes a connection, to which nothing more is written, and closes it when its peer has
// acknowledged everything, for which it does not wait. onClose is called when it is closed.
func (m *Closer) Close(c net.Conn, acks *Acks, onClose func()) error {
	if m.linger(c, acks, onClose) {
		return nil
	}
	onClose()
	return c.Close()
}

// linger begins to linger and returns false if there is nothing to wait for, or no way to.
func (m *Closer) linger(c net.Conn, acks *Acks, onClose func()) bool {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || acks.IsAcked() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		acks.setTimeout(lingerTimeout)
		return false
	}
	if _, ok := m.lingering[c]; ok {
		return true
	}
	if half.CloseWrite() != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Unix(1, 0)) // nothing more is read
	l := &lingering{conn: c, acks: acks, onClose: onClose, deadline: time.Now().Add(lingerTimeout), interval: minLingerInterval}
	l.timer = time.AfterFunc(l.interval, func() { m.check(l) })
	m.lingering[c] = l
	return true
}

// check closes a lingering connection if its peer has acknowledged everything, is unreachable or takes
// too long. Otherwise it schedules the next check.
func (m *Closer) check(l *lingering) {
	acked, err := l.acks.Update()
	if err != nil || acked || !time.Now().Before(l.deadline) {
		m.end(l)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return // Stop ends it
	}
	l.interval = min(2*l.interval, MaxLingerInterval)
	l.timer.Reset(l.interval)
}

// end closes a lingering connection. What its peer has not received is left to the kernel.
func (m *Closer) end(l *lingering) {
	m.mu.Lock()
	_, ok := m.lingering[l.conn]
	delete(m.lingering, l.conn)
	l.timer.Stop()
	m.mu.Unlock()
	if !ok {
		return
	}
	if !l.acks.IsAcked() {
		l.acks.setTimeout(lingerTimeout)
	}
	l.onClose()
	_ = l.conn.Close() // nothing can be done about an error
}

// Count returns the number of connections that linger.
func (m *Closer) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.lingering)
}

// Await waits until no connection lingers or ctx ends.
func (m *Closer) Await(ctx context.Context) {
	tick := time.NewTicker(awaitInterval)
	defer tick.Stop()
	for m.Count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Stop closes the connections that linger, and from now on others at once. What their peers have not
// received is left to the kernel. It returns how many lingered.
func (m *Closer) Stop() (unread int) {
	m.mu.Lock()
	m.stopped = true
	all := slices.Collect(maps.Values(m.lingering))
	m.mu.Unlock()
	for _, l := range all {
		m.end(l)
	}
	return len(all)
}
