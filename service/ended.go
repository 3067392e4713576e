package service

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// endedCheckTimeout bounds the connection attempt that shows whether an endpoint has ended.
const endedCheckTimeout = 150 * time.Millisecond

// HasEnded reports whether an endpoint refuses connections.
func HasEnded(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: endedCheckTimeout}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// endedWithEndpoint reports whether an answer without length and chunks was broken off by the end of
// the endpoint: the kernel closes the connections of a process that has crashed in order. An endpoint
// that has departed ended its answers before.
func endedWithEndpoint(ctx context.Context, address string, r Request, resp *http.Response) bool {
	isDelimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if isDelimited || r.Method == http.MethodHead || r.Departed != nil && r.Departed() {
		return false
	}
	return HasEnded(ctx, address)
}
