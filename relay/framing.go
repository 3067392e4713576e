package relay

import (
	"context"
	"net/http"
)

// The ways in which the end of an answer's body is found, as they are logged.
const (
	framingLength = "length" // a Content-Length
	framingChunks = "chunks" // chunked transfer coding
	framingClose  = "close"  // the end of the connection
)

// framing returns how the end of the body of a replica's answer is found.
func framing(resp *http.Response) string {
	switch {
	case len(resp.TransferEncoding) > 0:
		return framingChunks
	case resp.ContentLength >= 0:
		return framingLength
	default:
		return framingClose
	}
}

// isDelimited reports whether the answer states where it ends, rather than ending with the
// connection.
func isDelimited(resp *http.Response) bool { return framing(resp) != framingClose }

// endedWithReplica reports whether a body that ended with its connection was broken off by the end
// of the replica, since the kernel closes the connections of a process that has crashed in order.
// A replica that has been leaving for longer than it goes on serving exits as planned, after it has
// ended its answers. The check opens a connection, which takes the place of the one that is lost.
func (t *task) endedWithReplica(ctx context.Context, x *exchange) bool {
	if isDelimited(x.resp) {
		return false
	}
	f := t.proxy
	if leaving := x.replica.LeavingFor(f.Clock.Now()); leaving > 0 && f.DrainTime != nil && leaving >= f.DrainTime() {
		return false
	}
	return f.hasEnded(ctx, x.replica)
}
