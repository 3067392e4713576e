package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"peridotusher.example/peridotusher/routing"
)

// TestResetInsideUploadEndsNoAnswer guards against a part of an answer that looks complete: the replica resets the connection
// while a long body is being written, the write receives the error, and the read an end of file.
func TestResetInsideUploadEndsNoAnswer(t *testing.T) {
	const requests, bodyBytes = 60, 3 << 20
	for name, route := range map[string]routing.Route{"plain": nonIdempotent, "stream": {Kind: routing.Streaming, MaxAttempts: 1}} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, route, respond(okAnswer, false))
			b.proxy.Current.Load().Limits.BodyBytes = bodyBytes
			b.proxy.BodyMemory = 2 * bodyBytes
			b.mu.Lock()
			b.early = func(c net.Conn, id string) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSignature: s\r\n\r\ndata: 1\n\n") // as the client reports
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			b.mu.Unlock()
			whole := 0
			for range requests {
				resp, _, complete := b.send(b.unique(post("Content-Length: 3145728\r\n", strings.Repeat("x", bodyBytes))))
				if resp != nil && complete && resp.StatusCode == http.StatusOK {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d answers that were broken off look complete", whole, requests)
			}
		})
	}
}

// TestEarlyAnswerBesideUpload guards against complete answers that are taken for broken off because the upload goes on: the
// replica ends them with their length, or with the end of what it sends, and reads the rest of the body.
func TestEarlyAnswerBesideUpload(t *testing.T) {
	const bodyBytes = 3 << 20
	for _, field := range []string{"Content-Length: 2\r\n", ""} {
		b := newFixture(t, nonIdempotent, respond(okAnswer, false))
		b.proxy.Current.Load().Limits.BodyBytes = bodyBytes
		b.proxy.BodyMemory = 2 * bodyBytes
		b.mu.Lock()
		b.early = func(c net.Conn, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSignature: s\r\n"+field+"\r\nok") // as the client reports
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}
		b.mu.Unlock()
		resp, body, complete := b.send(b.unique(post("Content-Length: 3145728\r\n", strings.Repeat("x", bodyBytes))))
		if resp == nil || !complete || resp.StatusCode != http.StatusOK || body != "ok" {
			t.Errorf("answer with %q: %v, body %q, complete %v", field, resp, body, complete)
		}
	}
}
