package relay

import (
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

// endlessMost is where a replica without end stops by itself, in bytes, socketRoom what
// the sockets between it and a router that stopped reading may hold.
const (
	endlessMost = 64 << 20
	socketRoom  = 12 << 20
)

// endless is a script that writes a text, in which ID stands for the request's id, and
// then the filler until the other side closes. It counts the bytes.
func endless(text, filler string, written *atomic.Int64) script {
	return func(c net.Conn, r *http.Request, _ string) bool {
		if _, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id"))); err != nil {
			return false
		}
		block := strings.Repeat(filler, 1+(16<<10)/len(filler))
		for written.Load() < endlessMost {
			n, err := io.WriteString(c, block)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
		return false
	}
}

// drip is a script that writes a text and then a piece now and then until the other
// side closes.
func drip(text, piece string, every time.Duration) script {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		for err == nil {
			time.Sleep(every)
			_, err = io.WriteString(c, piece)
		}
		return false
	}
}

// busy makes the other replicas than the first one hold requests, so that the first one
// is asked first.
func (b *bed) busy() {
	b.t.Helper()
	for i, id := range []string{"b", "c"} {
		if r, ok := b.front.Table.Find(replicas.HashOf(id, 0)); ok {
			for range i + 1 {
				b.t.Cleanup(r.Acquire())
			}
		}
	}
}

// TestAnswersWithoutEnd has a replica that sends bytes without end where an answer, or
// a part of one, is due. They are not read to their end, and another replica answers.
func TestAnswersWithoutEnd(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\n"
	const failure = "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, text, filler string
		route              routing.Route
	}{
		{"status line", "HTTP/1.1 200 ", "O", repeatable},
		{"no answer", "", "z", repeatable},
		{"head line", "HTTP/1.1 200 OK\r\nA: ", "a", repeatable},
		{"head lines", "HTTP/1.1 200 OK\r\n", "A: aaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", repeatable},
		{"informational answers", "", "HTTP/1.1 102 Wait\r\n\r\n", repeatable},
		{"stray answer", "HTTP/1.1 200 OK\r\nId: 99\r\nSignature: s\r\n" + chunked, "8\r\naaaaaaaa\r\n", repeatable},
		{"refusal of a length", refusal + "Content-Length: 99999999999\r\n\r\n", "a", repeatable},
		{"refusal in chunks", refusal + chunked, "8\r\naaaaaaaa\r\n", repeatable},
		{"failure until the close", failure + "\r\n", "a", repeatable},
		{"failure in chunks", failure + chunked, "8\r\naaaaaaaa\r\n", repeatable},
		{"chunk extension", failure + chunked, "a", repeatable},
		{"chunk size", failure + chunked, "0", repeatable},
		{"event", streamHead + "ffffffffff\r\nid: 1\ndata: ", "a", resumable},
		{"no events", streamHead, "8\r\naaaaaaaa\r\n", resumable},
		{"trailer", streamHead + "0\r\nA: ", "a", resumable},
		{"trailers", streamHead + "0\r\n", "A: aaaaaaaaaaaaaaa\r\n", resumable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Int64
			second := say(fine, true)
			if tt.route.Kind == routing.Streaming {
				second = from
			}
			b := newBed(t, tt.route, endless(tt.text, tt.filler, &written), second)
			b.busy()
			began := time.Now()
			resp, body, whole := b.ask(b.unique(post("Content-Length: 0\r\n", "")))
			if resp == nil || !whole || resp.StatusCode != http.StatusOK || body == "" {
				t.Errorf("answer %v, %d bytes, whole %v", resp, len(body), whole)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the answer took %v", took)
			}
			if n := written.Load(); n > socketRoom {
				t.Errorf("%d bytes were read", n)
			}
			if n := len(b.requests()); n != 2 {
				t.Errorf("%d requests reached replicas, want 2 with the id %s: %+v", n, b.id, b.requests())
			}
		})
	}
}

// TestErrorWithoutEnd has a replica send an error without end where no other one may be
// asked: the client gets a final answer.
func TestErrorWithoutEnd(t *testing.T) {
	for _, head := range []string{"\r\n", "Content-Length: 99999999999\r\n\r\n"} {
		var written atomic.Int64
		b := newBed(t, once, endless("HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\n"+head, "a", &written))
		resp, _, whole := b.ask(get(""))
		if resp == nil || !whole || resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Signature") != "" {
			t.Errorf("answer %v, whole %v", resp, whole)
		}
		if n := written.Load(); n > socketRoom {
			t.Errorf("%d bytes were read", n)
		}
	}
}

// TestAnswersThatDrip has a replica that sends a byte now and then and never ends.
func TestAnswersThatDrip(t *testing.T) {
	const every = 20 * time.Millisecond
	tests := []struct {
		name, text string
		route      routing.Route
		most       time.Duration
	}{
		{"refusal", "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 999\r\n\r\n", repeatable, time.Second},
		{"failure", "HTTP/1.1 500 Oops\r\nId: ID\r\nSignature: s\r\nContent-Length: 999\r\n\r\n", repeatable, time.Second},
		{"answer", "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 999\r\n\r\n", repeatable, 1500 * time.Millisecond},
		{"event", streamHead + "ffff\r\nid: 1\ndata: ", resumable, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			second := say(fine, true)
			if tt.route.Kind == routing.Streaming {
				second = from
			}
			b := newBed(t, tt.route, drip(tt.text, "a", every), second)
			b.busy()
			began := time.Now()
			resp, _, whole := b.ask(post("Content-Length: 0\r\n", ""))
			if resp == nil || !whole || resp.StatusCode != http.StatusOK {
				t.Errorf("answer %v, whole %v", resp, whole)
			}
			if took := time.Since(began); took > tt.most {
				t.Errorf("the answer took %v, want %v at most", took, tt.most)
			}
		})
	}
}

// TestSlowStreamIsNotCut has a replica whose events come in pieces, each event in time.
func TestSlowStreamIsNotCut(t *testing.T) {
	b := newBed(t, resumable, func(c net.Conn, r *http.Request, _ string) bool {
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
	}, from)
	b.busy()
	_, body, whole := b.ask(post("Content-Length: 0\r\n", ""))
	if want := event(1) + event(2) + event(3) + event(4) + event(5); body != want || !whole {
		t.Errorf("body %q, whole %v", body, whole)
	}
	if n := len(b.requests()); n != 1 {
		t.Errorf("%d requests reached replicas, want 1", n)
	}
}

// TestAbandonedRequestsAreReset has a replica that does not answer. The router that gives
// up on it resets the connection, so that what was not delivered is never sent.
func TestAbandonedRequestsAreReset(t *testing.T) {
	ended := make(chan error, 1)
	b := newBed(t, repeatable, func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := c.Read(make([]byte, 1))
		ended <- err
		return false
	}, say(fine, true))
	b.busy()
	if resp, body, _ := b.ask(get("")); resp == nil || body != "hello" {
		t.Fatalf("answer %v %q", resp, body)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want %v", err, syscall.ECONNRESET)
	}
}
