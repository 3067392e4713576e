package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener closes new connections while too many are open, so that the
// process does not run out of descriptors for its replicas.
type limitListener struct {
	net.Listener
	most    int64
	open    atomic.Int64
	refused func()
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &limitedConn{Conn: c, done: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		_ = c.Close() // nothing was read on it
		l.refused()
	}
}

// limitedConn counts itself out when it is closed.
type limitedConn struct {
	net.Conn
	once sync.Once
	done func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.done)
	return c.Conn.Close()
}

// CloseWrite lets the server end an answer before it closes the connection.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
