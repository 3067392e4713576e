package relay

import (
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

var errPeerUnreachable = errors.New("the peer's host does not answer")

// ackTimeout manages the TCP_USER_TIMEOUT of a connection. The kernel would close the connection after
// unackedTimeout also if its peer is alive but does not read; the timeout is lifted in that case.
type ackTimeout struct {
	raw syscall.RawConn // nil if the connection is no socket
	// mayBeUnacked is whether data that was written may not have been acknowledged.
	mayBeUnacked atomic.Bool

	mu     sync.Mutex
	lifted bool // guarded by mu
}

// init prepares the ackTimeout of a connection.
func (a *ackTimeout) init(c any) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		a.raw = raw
	}
}

// info returns the kernel's state of the connection, or nil if it is closed or no TCP connection.
func (a *ackTimeout) info() *unix.TCPInfo {
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

// isAcked reports whether the peer has acknowledged everything that was written, or never will.
func (a *ackTimeout) isAcked() bool {
	info := a.info()
	return info == nil || info.State == unix.BPF_TCP_CLOSE || !hasUnacked(info)
}

// update lifts the timeout while the peer has closed the receive window but answers the kernel's
// probes, and restores it otherwise. It returns an error if the peer is unreachable.
func (a *ackTimeout) update() error {
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
		return errPeerUnreachable
	}
	if windowClosed == a.lifted {
		return nil
	}
	limit := unackedTimeout
	if windowClosed {
		limit = 0
	}
	a.lifted = windowClosed
	return a.set(limit)
}

// set sets TCP_USER_TIMEOUT; 0 removes it.
func (a *ackTimeout) set(limit time.Duration) error {
	if a.raw == nil {
		return nil
	}
	var err error
	if closed := a.raw.Control(func(fd uintptr) { err = setUserTimeout(fd, limit) }); closed != nil {
		return nil
	}
	return err
}

// hasUnacked reports whether data that was written has not been acknowledged.
func hasUnacked(info *unix.TCPInfo) bool { return info.Unacked > 0 || info.Notsent_bytes > 0 }

// isWindowClosed reports whether the peer has acknowledged everything sent and accepts no more data.
func isWindowClosed(info *unix.TCPInfo) bool { return info.Unacked == 0 && info.Notsent_bytes > 0 }

// updateAckTimeouts updates the timeouts of the clients' connections and closes those whose client is
// unreachable.
func (m *answerBuffer) updateAckTimeouts() {
	m.mu.Lock()
	var unread []*clientConn
	for c := range m.conns {
		if c.acks.mayBeUnacked.Load() {
			unread = append(unread, c)
		}
	}
	m.mu.Unlock()
	for _, c := range unread {
		if err := c.acks.update(); err != nil {
			m.mu.Lock()
			m.abort(c, "client", err)
			m.mu.Unlock()
		}
	}
}
