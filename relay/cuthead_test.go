package relay

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"peridotusher.example/peridotusher/routing"
)

// TestHeadsThatBreakOffAreNoAnswers guards against a success with an empty or short body that looks whole,
// because a replica closed the connection in the middle of the answer's head.
func TestHeadsThatBreakOffAreNoAnswers(t *testing.T) {
	heads := map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 12\r\nContent-Type: text/plain\r\n\r\n",
		"chunks":      "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"close":       "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nConnection: close\r\n\r\n",
		"information": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 2\r\n\r\n",
		"line feeds":  "HTTP/1.1 200 OK\nId: ID\nSignature: s\nContent-Length: 2\n\n",
		"stream":      "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n",
	}
	for name, route := range map[string]routing.Route{"plain": nonIdempotent, "stream": {Kind: routing.Streaming, MaxAttempts: 1}} {
		b := newFixture(t, route, func(c net.Conn, r *http.Request, _ string) bool {
			kind, cut, _ := strings.Cut(r.Header.Get("Cut"), "/")
			n, err := strconv.Atoi(cut)
			if err != nil {
				return false
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(heads[kind], "ID", r.Header.Get("Id"))[:n])
			return false
		})
		for kind, head := range heads {
			for n := range len(head) + 1 {
				resp, body, complete := b.send(get("Cut: " + kind + "/" + strconv.Itoa(n-n/len(head)) + "\r\n"))
				if complete && resp.StatusCode < http.StatusMultipleChoices {
					t.Errorf("%s route, %d bytes of %q: status %d, body %q", name, n, head, resp.StatusCode, body)
				}
			}
		}
	}
}
