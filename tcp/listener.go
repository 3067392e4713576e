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

// closingConn is a connection that is closed by a Closer. It implements httpserve.Conn.
type closingConn struct {
	net.Conn
	ReadGate
	closer *Closer
	acks   *Acks

	once sync.Once
	err  error // of Close
}

// Read implements net.Conn.
func (c *closingConn) Read(b []byte) (int, error) { return c.Receive(c.Conn, b) }

// CloseIfIdle implements httpserve.Conn.
func (c *closingConn) CloseIfIdle() {
	if c.ShutIfIdle() {
		_ = c.Close() // nothing can be done about an error
	}
}

// Close implements net.Conn.
func (c *closingConn) Close() error {
	c.Shut()
	c.once.Do(func() { c.err = c.closer.Close(c.Conn, c.acks, func() {}) })
	return c.err
}

// CloseWrite allows net/http to end an answer before it closes the connection.
func (c *closingConn) CloseWrite() error { return CloseWrite(c.Conn) }
