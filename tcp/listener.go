package tcp

import (
	"net"
	"sync"
)

// Listener accepts connections that are closed by a Closer. Its fields are set before the first Accept.
type Listener struct {
	net.Listener
	Closer *Closer
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closingConn{Conn: c, closer: l.Closer, acks: NewAcks(c, 0)}, nil
}

// closingConn is a connection that is closed by a Closer.
type closingConn struct {
	net.Conn
	closer *Closer
	acks   *Acks

	once sync.Once
	err  error // of Close
}

// Close implements net.Conn.
func (c *closingConn) Close() error {
	c.once.Do(func() { c.err = c.closer.Close(c.Conn, c.acks, func() {}) })
	return c.err
}

// CloseWrite allows net/http to end an answer before it closes the connection.
func (c *closingConn) CloseWrite() error { return CloseWrite(c.Conn) }
