package relay

import (
	"net"
	"sync/atomic"
)

// limitListener closes new connections while too many are open, so that enough file descriptors
// remain for connections to replicas.
type limitListener struct {
	net.Listener
	maxOpen   int64
	open      atomic.Int64
	onRefused func()
	// buffer is passed to new connections; nil disables buffering.
	buffer *answerBuffer
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxOpen {
			return newClientConn(c, l.buffer, func() { l.open.Add(-1) }), nil
		}
		l.open.Add(-1)
		_ = c.Close() // nothing was read on it
		l.onRefused()
	}
}
