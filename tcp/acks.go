package tcp

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxUnansweredProbes is the number of unanswered probes after which a peer that does not read is
// assumed to be unreachable.
const maxUnansweredProbes = 3

// ErrUnreachable means that a peer that does not read does not answer probes any more either.
var ErrUnreachable = errors.New("the peer's host does not answer")

// Acks tells whether the peer of a connection has acknowledged what was sent, and adapts the
// connection's TCP_USER_TIMEOUT to that. It is safe for concurrent use.
type Acks struct {
	raw     syscall.RawConn // nil if the connection is no socket
	timeout time.Duration   // TCP_USER_TIMEOUT of a peer that reads; 0 for none

	mayBeUnacked atomic.Bool

	mu     sync.Mutex
	lifted bool // whether the timeout is lifted; guarded by mu
}

// NewAcks returns the Acks of a connection whose TCP_USER_TIMEOUT was set to timeout, 0 for none.
func NewAcks(c net.Conn, timeout time.Duration) *Acks {
	a := &Acks{timeout: timeout}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			a.raw = raw
		}
	}
	return a
}

// RawConn returns the connection's socket, nil if it has none.
func (a *Acks) RawConn() syscall.RawConn { return a.raw }

// MarkWritten records that data is written, which may not be acknowledged at once.
func (a *Acks) MarkWritten() { a.mayBeUnacked.Store(true) }

// MayBeUnacked reports whether data that was written may not have been acknowledged, as of the last
// MarkWritten or Update.
func (a *Acks) MayBeUnacked() bool { return a.mayBeUnacked.Load() }

// IsAcked reports whether the peer has acknowledged everything that was written, or never will.
func (a *Acks) IsAcked() bool {
	s, ok := a.state()
	return !ok || !s.hasUnacked()
}

// IsClosed reports whether the connection is closed in both directions, as after a reset.
func (a *Acks) IsClosed() bool {
	s, ok := a.state()
	return ok && s.closed
}

// Update lifts TCP_USER_TIMEOUT while the peer has closed the receive window but answers the kernel's
// probes, and restores it otherwise. It returns IsAcked as of that check, and ErrUnreachable if the peer
// does not answer the probes.
func (a *Acks) Update() (acked bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mayBeUnacked.Store(false) // before the check, so that no later write is missed
	s, ok := a.state()
	if !ok {
		return true, nil
	}
	acked = !s.hasUnacked()
	if !acked {
		a.mayBeUnacked.Store(true)
	}
	paused := s.isPaused()
	if paused && a.lifted && s.unansweredProbes >= maxUnansweredProbes {
		return false, ErrUnreachable
	}
	if paused == a.lifted {
		return acked, nil
	}
	limit := a.timeout
	if paused {
		limit = 0
	}
	a.lifted = paused
	a.setTimeout(limit)
	return acked, nil
}

// setTimeout sets TCP_USER_TIMEOUT, which fails only if the connection is closed; 0 removes it.
func (a *Acks) setTimeout(limit time.Duration) {
	if a.raw != nil {
		_ = control(a.raw, limit)
	}
}

// state reads the state of the connection. It returns false if the connection is closed or its state is
// not known.
func (a *Acks) state() (s state, ok bool) {
	if a.raw == nil {
		return state{}, false
	}
	err := a.raw.Control(func(fd uintptr) { s, ok = readState(int(fd)) })
	return s, ok && err == nil
}
