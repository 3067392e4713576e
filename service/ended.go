package service

import (
	"context"
	"net"
	"net/http"
	"time"

	"peridotusher.example/peridotusher/tcp"
)

// endedCheckTimeout bounds the connection attempt that shows whether an endpoint has ended.
const endedCheckTimeout = 150 * time.Millisecond

// HasEnded reports whether an endpoint refuses connections, or comes to refuse them within a time.
func HasEnded(ctx context.Context, address string, within time.Duration) bool {
	dialer := net.Dialer{Timeout: endedCheckTimeout}
	open, ended := tcp.HasEnded(ctx, within, func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", address) })
	if open != nil {
		_ = open.Close() // nothing was sent on it
	}
	return ended
}

// brokeOffAtEnd reports whether an answer without length and chunks was broken off by a reset of its
// connection, or by the end of the endpoint: the kernel closes the connections of a process that has crashed
// in order. An endpoint that has departed ended its answers before.
func brokeOffAtEnd(ctx context.Context, address string, r Request, resp *http.Response, c *conn) bool {
	isDelimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if isDelimited || r.Method == http.MethodHead {
		return false
	}
	if c != nil && c.wasReset() {
		return true
	}
	if r.Departed != nil && r.Departed() {
		return false
	}
	return HasEnded(ctx, address, tcp.CloseTimeout)
}
