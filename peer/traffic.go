package peer

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"peridotusher.example/peridotusher"
)

// KindCount counts the messages of one kind in one direction.
type KindCount struct {
	Messages uint64
	Bytes    uint64
}

// Counts is a snapshot of a node's traffic counters. The byte totals include the
// overhead of yamux and TLS but not of TCP.
type Counts struct {
	Sent          map[Kind]KindCount
	Received      map[Kind]KindCount
	Shed          map[Kind]uint64 // messages not sent, to stay within the byte budget
	SentBytes     uint64
	ReceivedBytes uint64
}

// traffic counts messages by kind and bytes in total.
type traffic struct {
	budget                   *byteBudget
	sentBytes, receivedBytes atomic.Uint64

	mu             sync.Mutex
	sent, received map[Kind]KindCount
	shed           map[Kind]uint64
}

func newTraffic(b *byteBudget) *traffic {
	return &traffic{
		budget:   b,
		sent:     make(map[Kind]KindCount),
		received: make(map[Kind]KindCount),
		shed:     make(map[Kind]uint64),
	}
}

// admits reports whether the byte budget allows sending a message of the kind,
// and counts the message as shed if not.
func (t *traffic) admits(kind Kind) bool {
	if t.budget.admits(kind.priority()) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shed[kind]++
	return false
}

// addSent counts a message that was written.
func (t *traffic) addSent(kind Kind, size int) {
	if !kind.isRequestTraffic() {
		t.budget.spend(size)
	}
	t.add(t.sent, kind, size)
}

// addReceived counts a message that was read.
func (t *traffic) addReceived(kind Kind, size int) { t.add(t.received, kind, size) }

func (t *traffic) add(m map[Kind]KindCount, kind Kind, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := m[kind]
	c.Messages++
	c.Bytes += uint64(size)
	m[kind] = c
}

// counts returns a copy of the counters.
func (t *traffic) counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{
		Sent:          maps.Clone(t.sent),
		Received:      maps.Clone(t.received),
		Shed:          maps.Clone(t.shed),
		SentBytes:     t.sentBytes.Load(),
		ReceivedBytes: t.receivedBytes.Load(),
	}
}

// countedConn counts the bytes of a connection and records the time of its last
// read.
type countedConn struct {
	net.Conn
	traffic    *traffic
	clock      peridotusher.Clock
	lastReadAt atomic.Pointer[time.Time]
}

func newCountedConn(conn net.Conn, t *traffic, clock peridotusher.Clock) *countedConn {
	c := &countedConn{Conn: conn, traffic: t, clock: clock}
	now := clock.Now()
	c.lastReadAt.Store(&now)
	return c
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	k, err := c.Conn.Read(p)
	c.traffic.receivedBytes.Add(uint64(k))
	if k > 0 {
		now := c.clock.Now()
		c.lastReadAt.Store(&now)
	}
	return k, err
}

// lastRead returns the time at which bytes last arrived.
func (c *countedConn) lastRead() time.Time { return *c.lastReadAt.Load() }

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	k, err := c.Conn.Write(p)
	c.traffic.sentBytes.Add(uint64(k))
	return k, err
}
