package tcp

import (
	"net"
	"sync"
)

// Gate orders the reads from a connection and its end. Once it is closed, nothing that is read from the
// connection is handed on, even if a read deadline that was to end a read is removed again. The zero value is
// open and idle.
type Gate struct {
	mu       sync.Mutex
	closed   bool
	received bool // whether anything was received since MarkIdle
}

// Read reads from a connection while the gate is open. Bytes that arrive as it closes are discarded.
func (g *Gate) Read(c net.Conn, b []byte) (int, error) {
	if g.IsClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Read(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return 0, net.ErrClosed
	}
	g.received = g.received || n > 0
	return n, err
}

// MarkIdle records that everything received so far has been answered.
func (g *Gate) MarkIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.received = false
}

// Close closes the gate.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// CloseIfIdle closes the gate unless something was received since MarkIdle. It reports whether the gate is
// closed.
func (g *Gate) CloseIfIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = g.closed || !g.received
	return g.closed
}

// IsClosed reports whether the gate is closed.
func (g *Gate) IsClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}
