package tcp

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// resetReportTime is how long a write that the peer's reset has ended may take to return, and
	// resetCheckInterval the interval of checks whether it has.
	resetReportTime    = 20 * time.Millisecond
	resetCheckInterval = time.Millisecond
)

// Writes records whether writes to a connection have failed. The kernel reports a reset only once: if a
// write receives the error, a read that waits at the same time returns an end of file, as if the peer had
// closed the connection in order. It is safe for concurrent use.
type Writes struct {
	pending atomic.Int32
	failed  atomic.Bool
}

// Write writes to the connection.
func (w *Writes) Write(c net.Conn, b []byte) (int, error) {
	w.pending.Add(1)
	defer w.pending.Add(-1)
	n, err := c.Write(b)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		w.failed.Store(true)
	}
	return n, err
}

// HaveFailed reports, after a read from the connection has returned an end of file, whether the connection
// was reset instead. A write that the peer does not accept, on a connection that is not closed, has not
// failed.
func (w *Writes) HaveFailed(acks *Acks) bool {
	for until := time.Now().Add(resetReportTime); ; time.Sleep(resetCheckInterval) {
		switch {
		case w.failed.Load():
			return true
		case w.pending.Load() == 0:
			return w.failed.Load()
		case acks.IsClosed():
			return true
		case time.Now().After(until):
			return false
		}
	}
}
