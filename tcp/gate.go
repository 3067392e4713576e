package tcp

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// ReadGate makes the end of a connection definite for its reader: once it is shut, no bytes that arrive are
// handed on, even if the read deadline that was to end the reads is removed. The zero value is open and idle.
type ReadGate struct {
	mu        sync.Mutex
	shut      bool
	receiving bool // whether a part of a request was read since MarkIdle
}

// Receive reads the bytes of the gate's connection from r while the gate is open. Bytes that arrive as it shuts are
// discarded.
func (g *ReadGate) Receive(r io.Reader, b []byte) (int, error) {
	if g.IsClosed() {
		return 0, net.ErrClosed
	}
	n, err := r.Read(b)
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
func (g *ReadGate) MarkIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.receiving = false
}

// Shut shuts the gate.
func (g *ReadGate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = true
}

// ShutIfIdle shuts the gate unless a part of a request was read since MarkIdle. It reports whether the gate is
// shut.
func (g *ReadGate) ShutIfIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = g.shut || !g.receiving
	return g.shut
}

// IsReceiving reports whether a part of a request was read since MarkIdle.
func (g *ReadGate) IsReceiving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.receiving
}

// IsClosed reports whether the gate is shut. The connection itself may linger.
func (g *ReadGate) IsClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}
