package service

import (
	"context"
	"net"

	"peridotusher.example/peridotusher/tcp"
)

// conn is a connection to an endpoint. It asks a guard before each write, if there is one, and records whether
// writes have failed.
type conn struct {
	net.Conn
	guard  *writeGuard // nil for none
	acks   *tcp.Acks
	writes tcp.Writes
}

// dial connects to an endpoint. The guard may be nil.
func (c *Client) dial(ctx context.Context, network, address string, g *writeGuard) (net.Conn, error) {
	dialed, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: dialed, guard: g, acks: tcp.NewAcks(dialed, 0)}, nil
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.guard != nil {
		if err := c.guard.admit(); err != nil {
			return 0, err
		}
	}
	return c.writes.Write(c.Conn, b)
}

// wasReset reports, after the end of the connection was read, whether the endpoint has reset it while the
// request was being written.
func (c *conn) wasReset() bool { return c.writes.HaveFailed(c.acks) }
