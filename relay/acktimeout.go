package relay

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxUnansweredProbes is the number of unanswered probes after which a client that does not read
// is assumed to be unreachable.
const maxUnansweredProbes = 3

var errClientUnreachable = errors.New("the client's host does not answer")

// updateAckTimeouts updates TCP_USER_TIMEOUT for connections with data that may not have been
// acknowledged. The kernel would close a connection after unackedTimeout also if its client is
// alive but does not read; the timeout is lifted in that case.
func (m *answerBuffer) updateAckTimeouts() {
	m.mu.Lock()
	var unread []*clientConn
	for c := range m.conns {
		if c.mayBeUnacked.Load() {
			unread = append(unread, c)
		}
	}
	m.mu.Unlock()
	for _, c := range unread {
		if err := c.updateAckTimeout(); err != nil {
			m.mu.Lock()
			m.abort(c, "client", err)
			m.mu.Unlock()
		}
	}
}

// updateAckTimeout lifts the connection's TCP_USER_TIMEOUT while its client has closed the
// receive window but answers the kernel's probes. It returns an error if the client is
// unreachable.
func (c *clientConn) updateAckTimeout() error {
	if c.raw == nil {
		return nil
	}
	c.mayBeUnacked.Store(false) // before the check, so that no later write is missed
	var unreachable error
	err := c.raw.Control(func(fd uintptr) { unreachable = c.setAckTimeout(fd) })
	if err != nil {
		return nil // the connection is closed
	}
	return unreachable
}

// setAckTimeout lifts or restores TCP_USER_TIMEOUT as the state of the socket requires.
func (c *clientConn) setAckTimeout(fd uintptr) error {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return nil // not a TCP connection
	}
	if info.Unacked > 0 || info.Notsent_bytes > 0 {
		c.mayBeUnacked.Store(true)
	}
	windowClosed := isWindowClosed(info)
	if windowClosed && c.noAckTimeout && info.Probes >= maxUnansweredProbes {
		return errClientUnreachable
	}
	if windowClosed == c.noAckTimeout {
		return nil
	}
	limit := unackedTimeout
	if windowClosed {
		limit = 0
	}
	c.noAckTimeout = windowClosed
	return setUserTimeout(fd, limit)
}

// closedAckTimeout replaces unackedTimeout when a connection is closed. The kernel then delivers what
// is left, but nobody can lift the timeout any more for a client that pauses.
const closedAckTimeout = 15 * time.Second

// extendAckTimeout prepares a connection with data that may not have been acknowledged for its close.
func (c *clientConn) extendAckTimeout() {
	if c.raw == nil || !c.mayBeUnacked.Load() {
		return
	}
	// Both fail only if it is closed.
	_ = c.raw.Control(func(fd uintptr) { _ = setUserTimeout(fd, closedAckTimeout) })
}

// isWindowClosed reports whether the client has acknowledged everything sent and accepts no more
// data.
func isWindowClosed(info *unix.TCPInfo) bool { return info.Unacked == 0 && info.Notsent_bytes > 0 }
