package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestRepeatedRefusalIsNotBelieved guards against a replica that writes an earlier refusal once more on
// a kept connection, before it answers the request that it runs.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	refusals := map[string]string{
		"refusal without an id":        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + empty,
		"refusal":                      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: ID\r\n" + empty,
		"misdirection without an id":   "HTTP/1.1 421 No\r\n" + empty,
		"misdirection":                 "HTTP/1.1 421 No\r\nId: ID\r\n" + empty,
		"unsigned error without an id": "HTTP/1.1 500 Oops\r\n" + empty,
		"refusal with a body":          "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			earlier := make(map[net.Conn]string) // the refusal of the first request on a connection
			ran, refuse := 0, true
			faulty := func(c net.Conn, r *http.Request, body string) bool {
				mu.Lock()
				defer mu.Unlock()
				if refuse {
					refuse = false
					earlier[c] = strings.ReplaceAll(refusal, "ID", r.Header.Get("Id"))
					_, err := io.WriteString(c, earlier[c])
					return err == nil
				}
				ran++
				if _, err := io.WriteString(c, earlier[c]); err != nil {
					return false
				}
				return respond(okAnswer, true)(c, r, body)
			}
			b := newFixture(t, nonIdempotent, faulty)
			b.send(get(""))
			for id := 2; id <= 4; id++ {
				resp, body, complete := b.send(strings.Replace(get(""), "Id: 1", fmt.Sprintf("Id: %d", id), 1))
				if resp == nil || !complete || resp.StatusCode != http.StatusOK || body != "hello" {
					t.Errorf("request %d, which the replica ran, is answered %v %q", id, resp, body)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if ran != 3 {
				t.Errorf("the replica ran %d requests, want 3", ran)
			}
		})
	}
}

// TestAdditionalAnswerIsNotBelieved guards against bytes that a replica sends after a complete answer,
// in the form of an answer without an id, and that are taken for the answer to the next request.
func TestAdditionalAnswerIsNotBelieved(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	for _, additional := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + empty,
		"HTTP/1.1 429 Slow\r\n" + empty, "HTTP/1.1 421 No\r\n" + empty, "HTTP/1.1 408 Late\r\n" + empty,
		"HTTP/1.1 404 No\r\n" + empty, "HTTP/1.1 500 Oops\r\n" + empty, "HTTP/1.1 200 OK\r\n" + empty,
	} {
		b := newFixture(t, nonIdempotent, func(c net.Conn, r *http.Request, body string) bool {
			if r.Header.Get("Id") == "2" {
				if _, err := io.WriteString(c, additional); err != nil {
					return false
				}
			}
			return respond(okAnswer, true)(c, r, body)
		})
		for id := 1; id <= 3; id++ {
			resp, body, complete := b.send(strings.Replace(get(""), "Id: 1", fmt.Sprintf("Id: %d", id), 1))
			if resp == nil || !complete || resp.StatusCode != http.StatusOK || body != "hello" {
				t.Errorf("after %q request %d, which the replica ran, is answered %v %q", additional, id, resp, body)
			}
		}
		if n := len(b.requests()); n != 3 {
			t.Errorf("after %q the replica received %d requests, want 3", additional, n)
		}
	}
}

// TestFirstAnswerWithoutID guards against an answer without the request's id whose status is passed on
// as the promise that the request has not run, and against waiting for another answer after a refusal.
func TestFirstAnswerWithoutID(t *testing.T) {
	for answer, want := range map[string]int{
		"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n": http.StatusServiceUnavailable,
		"HTTP/1.1 421 No\r\n":                 http.StatusServiceUnavailable,
		"HTTP/1.1 503 Busy\r\n":               http.StatusBadGateway,
		"HTTP/1.1 429 Slow\r\n":               http.StatusBadGateway,
		"HTTP/1.1 404 No\r\n":                 http.StatusBadGateway,
		"HTTP/1.1 500 Oops\r\n":               http.StatusBadGateway,
	} {
		b := newFixture(t, nonIdempotent, respond(answer+"Content-Length: 0\r\n\r\n", true))
		began := time.Now()
		resp, _, complete := b.send(get(""))
		if resp == nil || !complete || resp.StatusCode != want {
			t.Errorf("%q is answered with %v, want status %d", answer, resp, want)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("the final answer after %q took %v", answer, took)
		}
	}
}

// TestRefusalBehindStrayAnswerIsNotBelieved guards against bytes behind an answer to another request, in
// the form of a refusal without an id, that are taken for the answer to a request that the replica runs.
func TestRefusalBehindStrayAnswerIsNotBelieved(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nId: 99\r\nSignature: z\r\nContent-Length: 5\r\n\r\nOTHER"
	for _, refusal := range []string{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n", "HTTP/1.1 421 No\r\n"} {
		b := newFixture(t, nonIdempotent, respond(stray+refusal+"Content-Length: 0\r\n\r\n", false))
		resp, _, _ := b.send(get(""))
		if resp == nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("%q is answered with %v, want status %d", refusal, resp, http.StatusBadGateway)
		}
		if n := len(b.requests()); n != 1 {
			t.Errorf("%q: the replica received %d requests, want 1", refusal, n)
		}
	}
}
