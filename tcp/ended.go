package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// CloseTimeout is how long a process that was killed may take to close its sockets. The kernel closes them
// one after the other, and the listening socket accepts connections until it is closed, too.
const CloseTimeout = 100 * time.Millisecond

// redialDelay is the delay between two connections that ask. A process that has as many connections as it
// accepts closes each of them.
const redialDelay = 25 * time.Millisecond

// HasEnded reports whether the process that listened at an address has ended, behind a connection that
// it closed: it refuses connections now, or comes to refuse them within a time, which is 0 to ask once. If it
// goes on, the connection that asks last is returned as open, nil if the process closed it.
func HasEnded[C net.Conn](ctx context.Context, within time.Duration, dial func(ctx context.Context) (C, error)) (open C, ended bool) {
	var none C
	until := time.Now().Add(within)
	for {
		last := !time.Now().Before(until) || ctx.Err() != nil
		c, err := dial(ctx)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return none, true
		case err == nil && last:
			return c, false
		case err == nil:
			awaitClose(ctx, c, until)
			_ = c.Close() // nothing was sent on it
		case last || !errors.Is(err, syscall.ECONNRESET):
			return none, false // it cannot be told
		}
		time.Sleep(redialDelay)
	}
}

// awaitClose waits until the peer closes a connection on which nothing was sent, at most until a time.
func awaitClose(ctx context.Context, c net.Conn, until time.Time) {
	if err := c.SetReadDeadline(until); err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) }) // fails if it is closed
	defer stop()
	_, _ = c.Read(make([]byte, 1)) // ends with the connection or the time
}
