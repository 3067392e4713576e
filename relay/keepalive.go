package relay

import (
	"net/http"
	"strconv"
	"time"
)

// announceKeepAlive sets the headers that tell the client whether and how long it may reuse the
// connection. A client that obeys them sends nothing on a connection that is closed by a stop.
func (f *Proxy) announceKeepAlive(h http.Header) {
	if f.stopping() {
		announceClose(h)
		return
	}
	if seconds := int(f.keepAliveTimeout() / time.Second); seconds > 0 {
		h.Set("Connection", "keep-alive")
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

// keepAliveTimeout returns how long an idle client connection may be reused: KeepAliveTimeout, or the
// configured idle timeout if that is shorter.
func (f *Proxy) keepAliveTimeout() time.Duration {
	if idle := f.connLimits().Idle; idle > 0 {
		return min(f.KeepAliveTimeout, idle)
	}
	return f.KeepAliveTimeout
}

// announceClose sets the headers that announce the end of the connection after this answer.
func announceClose(h http.Header) {
	h.Del("Keep-Alive")
	h.Set("Connection", "close")
}
