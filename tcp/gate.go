package tcp

import (
	"bytes"
	"net"
	"sync"
)

// Gate orders the reads from a connection and its end. Once it is shut, nothing that is read from the
// connection is handed on, even if the read deadline that was to end the reads is removed again. The zero value is
// open and idle.
type Gate struct {
	mu        sync.Mutex
	shut      bool
	receiving bool // whether a part of a request was read since MarkIdle
}

// Receive reads from the gate's connection while the gate is open. Bytes that arrive as it shuts are
// discarded.
func (g *Gate) Receive(c net.Conn, b []byte) (int, error) {
	if g.IsClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Read(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return 0, net.ErrClosed
	}
	// Line ends before a request do not begin it; some clients send one behind a body.
	g.receiving = g.receiving || len(bytes.Trim(b[:n], "\r\n")) > 0
	return n, err
}

// MarkIdle records that the request that was read last has been answered.
func (g *Gate) MarkIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.receiving = false
}

// Shut shuts the gate.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = true
}

// ShutIfIdle shuts the gate unless a part of a request was read since MarkIdle. It reports whether the gate is
// shut.
func (g *Gate) ShutIfIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = g.shut || !g.receiving
	return g.shut
}

// IsReceiving reports whether a part of a request was read since MarkIdle.
func (g *Gate) IsReceiving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.receiving
}

// IsClosed reports whether the gate is shut, because the connection is closed or lingers.
func (g *Gate) IsClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}
