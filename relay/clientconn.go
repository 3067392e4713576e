package relay

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"peridotusher.example/peridotusher/httpserve"
	"peridotusher.example/peridotusher/tcp"
)

const (
	// maxDirectWrite is how long a write to a client may block before the rest is buffered.
	maxDirectWrite = 50 * time.Millisecond
	// maxDirectWriteFull replaces it while no memory is free.
	maxDirectWriteFull = 250 * time.Millisecond
	// closeTimeout limits the time to write what is buffered when a connection is closed, if no
	// request's deadline does.
	closeTimeout = 2 * time.Second
)

// clientConn is the connection of a client. What the client does not read at once is buffered, if
// there is an answer buffer, and written by another goroutine. Apart from that, only the
// goroutine that serves the connection writes to it, and only that one sets its write deadline.
type clientConn struct {
	net.Conn
	httpserve.Gate
	buffer    *answerBuffer // nil: writes block until the client reads
	acks      *tcp.Acks
	onClose   func()
	closeOnce sync.Once

	// rawData and rawWritten are the argument and result of rawWrite. A closure per write would
	// be allocated each time.
	rawData    []byte
	rawWritten int
	rawWrite   func(fd uintptr) bool

	draining atomic.Bool // whether a goroutine writes buffered data; set with buffer.mu locked
	// endsAnswer is set while an answer is incomplete whose end is that of the connection.
	endsAnswer atomic.Bool

	buffered bufferState // guarded by buffer.mu
}

func newClientConn(c net.Conn, buffer *answerBuffer, onClose func()) *clientConn {
	out := &clientConn{Conn: c, buffer: buffer, onClose: onClose}
	if buffer == nil {
		return out
	}
	out.buffered.wake = make(chan struct{}, 1)
	out.rawWrite = func(fd uintptr) bool {
		if n, err := unix.Write(int(fd), out.rawData); err == nil {
			out.rawWritten = n
		}
		return true // also if the socket buffer is full, so that it does not wait
	}
	out.acks = tcp.NewAcks(c, tcp.UnackedTimeout)
	buffer.addConn(out)
	return out
}

// clientConnOf returns the connection of a request, or nil if it is not a clientConn.
func clientConnOf(ctx context.Context) *clientConn {
	c, _ := httpserve.ConnOf(ctx).(*clientConn)
	return c
}

// bufferedConnOf returns the connection of a request, or nil if answers on it are not buffered.
func bufferedConnOf(ctx context.Context) *clientConn {
	if c := clientConnOf(ctx); c != nil && c.buffer != nil {
		return c
	}
	return nil
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) { return c.Gate.Read(b) }

// CloseIfIdle implements httpserve.Conn.
func (c *clientConn) CloseIfIdle() {
	if c.ShutIfIdle() {
		_ = c.Close() // nothing can be done about an error
	}
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	if c.buffer == nil {
		return c.Conn.Write(b)
	}
	c.acks.MarkWritten()
	n := 0
	if !c.draining.Load() {
		n = c.writeNonblocking(b)
		if n == len(b) {
			return n, nil
		}
		more, err := c.writeWithin(maxDirectWrite, b[n:])
		n += more
		if n == len(b) || err != nil {
			return n, err
		}
	}
	return c.buffer.write(c, b, n)
}

// writeNonblocking writes what the socket accepts without blocking and returns the number of
// bytes. An error shows up again in the next write.
func (c *clientConn) writeNonblocking(b []byte) int {
	raw := c.acks.RawConn()
	if raw == nil {
		return 0
	}
	c.rawData, c.rawWritten = b, 0
	_ = raw.Write(c.rawWrite) // the next write returns the same error
	c.rawData = nil
	return c.rawWritten
}

// writeWithin writes for at most d and returns the number of bytes. A partial write is no error,
// unless the connection's write deadline has passed.
func (c *clientConn) writeWithin(d time.Duration, b []byte) (int, error) {
	writeUntil := time.Now().Add(d)
	deadline := c.buffered.writeDeadline
	if !deadline.IsZero() && deadline.Before(writeUntil) {
		return c.Conn.Write(b)
	}
	if err := c.Conn.SetWriteDeadline(writeUntil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if restoreErr := c.Conn.SetWriteDeadline(deadline); restoreErr != nil {
		return n, restoreErr
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, nil
	}
	return n, err
}

// SetWriteDeadline implements net.Conn. Buffered data keeps its deadline until another one is
// set.
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	if c.buffer == nil {
		return c.Conn.SetWriteDeadline(t)
	}
	c.buffer.mu.Lock()
	defer c.buffer.mu.Unlock()
	c.buffered.writeDeadline = t
	if t.IsZero() && c.draining.Load() {
		return nil
	}
	c.buffered.hasDeadline = !t.IsZero()
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn. Buffered data is written before the connection is closed, unless an
// answer would then look complete.
func (c *clientConn) Close() error {
	c.Shut()
	if c.endsAnswer.Load() {
		c.reset()
		return c.release()
	}
	if c.buffer != nil && c.buffer.deferClose(c) {
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection once the client has acknowledged everything that was written.
func (c *clientConn) closeNow() error {
	if c.buffer == nil {
		return c.release()
	}
	return c.buffer.closer.Close(c.Conn, c.acks, c.forget)
}

// release closes the connection at once.
func (c *clientConn) release() error {
	c.forget()
	return c.Conn.Close()
}

// forget removes the connection from the router's tables.
func (c *clientConn) forget() {
	c.closeOnce.Do(c.onClose)
	if c.buffer != nil {
		c.buffer.removeConn(c)
	}
}

// reset closes the connection with a TCP reset, so that an answer on it does not look complete,
// whatever its framing.
func (c *clientConn) reset() {
	c.Shut()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure it is closed as usual
	}
	_ = c.Conn.Close() // nothing can be done about an error
}

// CloseWrite allows net/http to end an answer before it closes the connection.
func (c *clientConn) CloseWrite() error {
	if c.draining.Load() {
		return nil // the connection is closed once everything is written
	}
	return tcp.CloseWrite(c.Conn)
}
