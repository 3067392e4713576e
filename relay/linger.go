package relay

import (
	"maps"
	"slices"
	"time"
)

const (
	// lingerTimeout limits how long a connection lingers, and how long the kernel goes on delivering
	// what is left when the router stops before.
	lingerTimeout = 15 * time.Second
	// minLingerInterval and maxLingerInterval bound the time between two checks of a lingering
	// connection, which doubles with each check.
	minLingerInterval = 20 * time.Millisecond
	maxLingerInterval = 640 * time.Millisecond
)

// lingering is a connection that the server has closed before its client has acknowledged
// everything. The router keeps it until then: once it is closed, nobody can lift TCP_USER_TIMEOUT any
// more for a client that pauses, and what the kernel still holds may be lost with the process.
type lingering struct {
	conn     *clientConn
	deadline time.Time
	interval time.Duration // until the next check
	timer    *time.Timer   // guarded by the buffer's mu
}

// linger half-closes a connection and keeps it until its client has acknowledged everything. It returns
// false if that is the case already, or if the connection cannot linger.
func (m *answerBuffer) linger(c *clientConn) bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.acks.isAcked() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || c.buffered.err != nil {
		_ = c.acks.set(lingerTimeout) // fails only if it is closed
		return false
	}
	if _, ok := m.lingering[c]; ok {
		return true
	}
	if half.CloseWrite() != nil {
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // nothing more is read
	l := &lingering{conn: c, deadline: m.clock.Now().Add(lingerTimeout), interval: minLingerInterval}
	l.timer = time.AfterFunc(l.interval, func() { m.checkLingering(l) })
	m.lingering[c] = l
	return true
}

// checkLingering closes a lingering connection if its client has acknowledged everything, is
// unreachable or takes too long. Otherwise it schedules the next check.
func (m *answerBuffer) checkLingering(l *lingering) {
	err := l.conn.acks.update()
	if err != nil || l.conn.acks.isAcked() || !m.clock.Now().Before(l.deadline) {
		m.endLinger(l.conn)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return // stop ends it
	}
	l.interval = min(2*l.interval, maxLingerInterval)
	l.timer.Reset(l.interval)
}

// endLinger closes a lingering connection.
func (m *answerBuffer) endLinger(c *clientConn) {
	m.mu.Lock()
	l, ok := m.lingering[c]
	delete(m.lingering, c)
	id := c.buffered.id
	m.mu.Unlock()
	if !ok {
		return
	}
	l.timer.Stop()
	if !c.acks.isAcked() {
		m.log.Event("unread", "id", id, "for", lingerTimeout-l.deadline.Sub(m.clock.Now()))
		_ = c.acks.set(lingerTimeout) // fails only if it is closed
	}
	_ = c.release() // nothing can be done about an error
}

// endLingering closes all lingering connections. What their clients have not read is left to the
// kernel.
func (m *answerBuffer) endLingering() {
	m.mu.Lock()
	all := slices.Collect(maps.Keys(m.lingering))
	m.mu.Unlock()
	for _, c := range all {
		m.endLinger(c)
	}
}
