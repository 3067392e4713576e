package httpserve

import (
	"net"
	"sync"

	"peridotusher.example/peridotusher/tcp"
)

// Listener accepts connections within the limits of a Limiter. Its fields are set before the first Accept.
type Listener struct {
	net.Listener
	Limiter *Limiter
	// Closer closes the connections; nil leaves to the kernel what their peers have not received.
	Closer *tcp.Closer
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, requests, err := l.Limiter.AcceptFrom(l.Listener)
	if err != nil {
		return nil, err
	}
	out := &closingConn{Conn: c, closer: l.Closer, acks: tcp.NewAcks(c, 0)}
	out.Requests = requests
	requests.Attach(out)
	return out, nil
}

// closingConn is a connection that is closed by a Closer. It implements Conn.
type closingConn struct {
	net.Conn
	Gate
	closer *tcp.Closer // nil for none
	acks   *tcp.Acks

	once sync.Once
	err  error // of Close
}

// Read implements net.Conn.
func (c *closingConn) Read(b []byte) (int, error) { return c.Gate.Read(b) }

// CloseIfIdle implements Conn.
func (c *closingConn) CloseIfIdle() {
	if c.ShutIfIdle() {
		_ = c.Close() // nothing can be done about an error
	}
}

// Close implements net.Conn.
func (c *closingConn) Close() error {
	c.Shut()
	c.once.Do(func() { c.err = c.closeNow() })
	return c.err
}

// closeNow closes the connection, through the Closer if there is one.
func (c *closingConn) closeNow() error {
	if c.closer != nil {
		return c.closer.Close(c.Conn, c.acks, c.Requests.Release)
	}
	c.Requests.Release()
	return c.Conn.Close()
}

// CloseWrite allows net/http to end an answer before it closes the connection.
func (c *closingConn) CloseWrite() error { return tcp.CloseWrite(c.Conn) }
