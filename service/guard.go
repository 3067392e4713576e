package service

import (
	"net"
	"sync"
)

// guard runs a check right before the first byte of a call is written and
// remembers whether a byte may have left.
type guard struct {
	check func() error

	mu      sync.Mutex
	begun   bool
	refusal error
}

// admit runs the check on the first write and returns its error on every later one.
func (g *guard) admit() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.begun || g.refusal != nil {
		return g.refusal
	}
	if g.check != nil {
		g.refusal = g.check()
	}
	g.begun = g.refusal == nil
	return g.refusal
}

// end refuses every write that has not begun. It returns whether one has, and why
// the call failed: by the check's refusal if there is one, because the transport may
// tell of the connection that it closed for that instead, else by err.
func (g *guard) end(err error) (written bool, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.begun {
		return true, err
	}
	if g.refusal == nil {
		g.refusal = err
	}
	return false, g.refusal
}

// guardedConn is a connection whose writes pass a guard.
type guardedConn struct {
	net.Conn
	guard *guard
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if err := c.guard.admit(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
