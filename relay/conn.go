package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"peridotusher.example/peridotusher/tcp"
)

// readBufferSize is the size of the read buffer of a replica connection, in bytes.
const readBufferSize = 4096

// errTooLong means that a replica sent more bytes than allowed where they are limited.
var errTooLong = errors.New("more bytes than an answer has there")

// conn is a connection to a replica. It serves one request at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// remaining is how many bytes may still be read while bounded is set.
	remaining int
	bounded   bool
	// readTimeout limits each read; 0 sets no limit. Whenever it expires, shouldAbandon decides
	// whether the read fails or goes on for another readTimeout.
	readTimeout   time.Duration
	shouldAbandon func() bool
	// idleSince is when the last answer ended, keepAlive how long the replica keeps the idle
	// connection open.
	idleSince time.Time
	keepAlive time.Duration
	hadAnswer bool // whether an earlier answer was read from it
	acks      *tcp.Acks
	writes    tcp.Writes
}

// NewDialer returns a dialer for connections that detect a host that does not respond.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: tcp.KeepAlive(), Control: tcp.Control}
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	c, err := NewDialer(timeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c, acks: tcp.NewAcks(c, tcp.UnackedTimeout)}
	out.br = bufio.NewReaderSize(out, readBufferSize)
	return out, nil
}

// limitBytes limits further reads to n bytes in total, until unlimitBytes is called.
func (c *conn) limitBytes(n int) { c.remaining, c.bounded = n, true }

func (c *conn) unlimitBytes() { c.bounded = false }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.writes.Write(c.Conn, b) }

// wasReset reports, after the end of the connection was read, whether the replica has reset it while the
// request was being written.
func (c *conn) wasReset() bool { return c.writes.HaveFailed(c.acks) }

// Read implements io.Reader within the limits of bytes and time.
func (c *conn) Read(b []byte) (int, error) {
	if c.bounded && c.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(b)
	for n == 0 && c.readTimeout > 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.shouldAbandon() {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(b)
	}
	c.remaining -= n
	return n, err
}

// setReadTimeout limits each read to d, after which shouldAbandon decides; 0 removes the limit.
func (c *conn) setReadTimeout(d time.Duration, shouldAbandon func() bool) error {
	c.readTimeout, c.shouldAbandon = max(d, 0), shouldAbandon
	if d <= 0 {
		return c.SetReadDeadline(time.Time{})
	}
	return c.SetReadDeadline(time.Now().Add(d))
}

// reset closes the connection of an abandoned request with a TCP reset. With a normal close the
// kernel would still deliver the unsent rest of the request, even seconds later once an
// interrupted network path is back.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure it is closed as usual
	}
	_ = c.Close() // nothing can be done about an error
}

// isQuiet reports whether an idle connection is open and has nothing to read.
func (c *conn) isQuiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// replicaKeepAlive returns how long the replica keeps the connection open after the answer; 0
// forbids reuse.
func replicaKeepAlive(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	const unstated = 2 * time.Second
	for field := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0
		}
		return time.Duration(seconds * float64(time.Second))
	}
	return unstated
}
