package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// maxEndlessBytes is how many bytes a replica without end sends at most, maxSocketBytes how many
// the socket buffers may take from it after the router has stopped reading.
const (
	maxEndlessBytes = 64 << 20
	maxSocketBytes  = 12 << 20
)

// endless returns a script that writes a text, in which ID stands for the request's id, and then
// the filler until the other side closes. It counts the bytes.
func endless(text, filler string, written *atomic.Int64) script {
	return func(c net.Conn, r *http.Request, _ string) bool {
		if _, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id"))); err != nil {
			return false
		}
		block := strings.Repeat(filler, 1+(16<<10)/len(filler))
		for written.Load() < maxEndlessBytes {
			n, err := io.WriteString(c, block)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
		return false
	}
}

// trickle returns a script that writes a text and then a piece at each interval until the other
// side closes.
func trickle(text, piece string, interval time.Duration) script {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		for err == nil {
			time.Sleep(interval)
			_, err = io.WriteString(c, piece)
		}
		return false
	}
}

// loadOtherReplicas adds load to all replicas but the first, so that the first one is tried
// first.
func (b *fixture) loadOtherReplicas() {
	b.t.Helper()
	for i, id := range []string{"b", "c"} {
		if r, ok := b.proxy.Table.Find(replicas.HashOf(id, 0)); ok {
			for range i + 1 {
				b.t.Cleanup(r.Acquire())
			}
		}
	}
}

// TestAnswersWithoutEnd has a replica send bytes without end where an answer, or a part of one,
// is expected. The router stops reading, and another replica answers.
func TestAnswersWithoutEnd(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\n"
	const failure = "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	names := ""
	for i := range 1000 {
		names += fmt.Sprintf("%x:\r\n", i)
	}
	tests := []struct {
		name, text, filler string
		route              routing.Route
	}{
		{"status line", "HTTP/1.1 200 ", "O", idempotent},
		{"no answer", "", "z", idempotent},
		{"head line", "HTTP/1.1 200 OK\r\nA: ", "a", idempotent},
		{"head lines", "HTTP/1.1 200 OK\r\n", "A: aaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", idempotent},
		{"head of many names", "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n" + names + chunked, "8\r\naaaaaaaa\r\n", idempotent},
		{"informational answers", "", "HTTP/1.1 102 Wait\r\n\r\n", idempotent},
		{"stray answer", "HTTP/1.1 200 OK\r\nId: 99\r\nSignature: s\r\n" + chunked, "8\r\naaaaaaaa\r\n", idempotent},
		{"refusal of a length", refusal + "Content-Length: 99999999999\r\n\r\n", "a", idempotent},
		{"refusal in chunks", refusal + chunked, "8\r\naaaaaaaa\r\n", idempotent},
		{"failure until the close", failure + "\r\n", "a", idempotent},
		{"failure in chunks", failure + chunked, "8\r\naaaaaaaa\r\n", idempotent},
		{"chunk extension", failure + chunked, "a", idempotent},
		{"chunk size", failure + chunked, "0", idempotent},
		{"event", streamHead + "ffffffffff\r\nid: 1\ndata: ", "a", resumable},
		{"no events", streamHead, "8\r\naaaaaaaa\r\n", resumable},
		{"trailer", streamHead + "0\r\nA: ", "a", resumable},
		{"trailers", streamHead + "0\r\n", "A: aaaaaaaaaaaaaaa\r\n", resumable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Int64
			second := respond(okAnswer, true)
			if tt.route.Kind == routing.Streaming {
				second = resumeAfter
			}
			b := newFixture(t, tt.route, endless(tt.text, tt.filler, &written), second)
			b.loadOtherReplicas()
			began := time.Now()
			resp, body, complete := b.send(b.unique(post("Content-Length: 0\r\n", "")))
			if resp == nil || !complete || resp.StatusCode != http.StatusOK || body == "" {
				t.Errorf("answer %v, %d bytes, complete %v", resp, len(body), complete)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the answer took %v", took)
			}
			if n := written.Load(); n > maxSocketBytes {
				t.Errorf("%d bytes were read", n)
			}
			if n := len(b.requests()); n != 2 {
				t.Errorf("%d requests reached replicas, want 2 with the id %s: %+v", n, b.id, b.requests())
			}
		})
	}
}

// TestErrorWithoutEnd has a replica send an error without end when no other replica may be tried:
// the client gets a final answer.
func TestErrorWithoutEnd(t *testing.T) {
	for _, head := range []string{"\r\n", "Content-Length: 99999999999\r\n\r\n"} {
		var written atomic.Int64
		b := newFixture(t, nonIdempotent, endless("HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\n"+head, "a", &written))
		resp, _, complete := b.send(get(""))
		if resp == nil || !complete || resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Signature") != "" {
			t.Errorf("answer %v, complete %v", resp, complete)
		}
		if n := written.Load(); n > maxSocketBytes {
			t.Errorf("%d bytes were read", n)
		}
	}
}

// TestTricklingAnswers has a replica send single bytes at intervals without end.
func TestTricklingAnswers(t *testing.T) {
	const every = 20 * time.Millisecond
	tests := []struct {
		name, text string
		route      routing.Route
		maxTime    time.Duration
	}{
		{"refusal", "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 999\r\n\r\n", idempotent, time.Second},
		{"failure", "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 999\r\n\r\n", idempotent, time.Second},
		{"answer", "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 999\r\n\r\n", idempotent, 1500 * time.Millisecond},
		{"event", streamHead + "ffff\r\nid: 1\ndata: ", resumable, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			second := respond(okAnswer, true)
			if tt.route.Kind == routing.Streaming {
				second = resumeAfter
			}
			b := newFixture(t, tt.route, trickle(tt.text, "a", every), second)
			b.loadOtherReplicas()
			began := time.Now()
			resp, _, complete := b.send(post("Content-Length: 0\r\n", ""))
			if resp == nil || !complete || resp.StatusCode != http.StatusOK {
				t.Errorf("answer %v, complete %v", resp, complete)
			}
			if took := time.Since(began); took > tt.maxTime {
				t.Errorf("the answer took %v, want %v at most", took, tt.maxTime)
			}
		})
	}
}

// TestSlowEventsAreForwarded has a replica send events in pieces, each event in time.
func TestSlowEventsAreForwarded(t *testing.T) {
	b := newFixture(t, resumable, func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(streamHead, "ID", r.Header.Get("Id")))
		for n := 1; n <= 5 && err == nil; n++ {
			text := event(n)
			for _, piece := range []string{text[:3], text[3:8], text[8:]} {
				time.Sleep(60 * time.Millisecond)
				_, err = io.WriteString(c, chunk(piece))
			}
		}
		_, _ = io.WriteString(c, chunk(""))
		return true
	}, resumeAfter)
	b.loadOtherReplicas()
	_, body, complete := b.send(post("Content-Length: 0\r\n", ""))
	if want := event(1) + event(2) + event(3) + event(4) + event(5); body != want || !complete {
		t.Errorf("body %q, complete %v", body, complete)
	}
	if n := len(b.requests()); n != 1 {
		t.Errorf("%d requests reached replicas, want 1", n)
	}
}

// TestAbandonedRequestsAreReset has a replica that does not answer. The router abandons it and
// resets the connection, so that undelivered data is never sent.
func TestAbandonedRequestsAreReset(t *testing.T) {
	ended := make(chan error, 1)
	b := newFixture(t, idempotent, func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := c.Read(make([]byte, 1))
		ended <- err
		return false
	}, respond(okAnswer, true))
	b.loadOtherReplicas()
	if resp, body, _ := b.send(get("")); resp == nil || body != "hello" {
		t.Fatalf("answer %v %q", resp, body)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want %v", err, syscall.ECONNRESET)
	}
}
