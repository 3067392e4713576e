package tcp

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
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
	info := a.info()
	return info == nil || info.State == unix.BPF_TCP_CLOSE || !hasUnacked(info)
}

// Update lifts TCP_USER_TIMEOUT while the peer has closed the receive window but answers the kernel's
// probes, and restores it otherwise. It returns ErrUnreachable if the peer does not answer them.
func (a *Acks) Update() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mayBeUnacked.Store(false) // before the check, so that no later write is missed
	info := a.info()
	if info == nil {
		return nil
	}
	if hasUnacked(info) {
		a.mayBeUnacked.Store(true)
	}
	windowClosed := isWindowClosed(info)
	if windowClosed && a.lifted && info.Probes >= maxUnansweredProbes {
		return ErrUnreachable
	}
	if windowClosed == a.lifted {
		return nil
	}
	limit := a.timeout
	if windowClosed {
		limit = 0
	}
	a.lifted = windowClosed
	a.setTimeout(limit)
	return nil
}

// setTimeout sets TCP_USER_TIMEOUT, which fails only if the connection is closed; 0 removes it.
func (a *Acks) setTimeout(limit time.Duration) {
	if a.raw != nil {
		_ = control(a.raw, limit)
	}
}

// info returns the kernel's state of the connection, or nil if it is closed or no TCP connection.
func (a *Acks) info() *unix.TCPInfo {
	if a.raw == nil {
		return nil
	}
	var info *unix.TCPInfo
	err := a.raw.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = i
		}
	})
	if err != nil {
		return nil
	}
	return info
}

// hasUnacked reports whether data that was written has not been acknowledged.
func hasUnacked(info *unix.TCPInfo) bool { return info.Unacked > 0 || info.Notsent_bytes > 0 }

// isWindowClosed reports whether the peer has acknowledged everything sent and accepts no more data.
func isWindowClosed(info *unix.TCPInfo) bool { return info.Unacked == 0 && info.Notsent_bytes > 0 }
