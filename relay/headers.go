package relay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders concern a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// forwardableHeaders returns a copy of h without hop-by-hop headers. Headers that are listed in
// Connection are removed too, except those for which keep returns true.
func forwardableHeaders(h http.Header, keep func(name string) bool) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if name != "" && !keep(name) {
				delete(out, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
