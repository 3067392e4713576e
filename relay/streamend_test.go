package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/routing"
)

const (
	// closeHead is the head of a stream that ends with its connection.
	closeHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n"
	// plainHead is the same for an answer that is no stream.
	plainHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n\r\n"
	// chunkedHead is plainHead for an answer in chunks.
	chunkedHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	// half is an incomplete event.
	half = "id: 3\nda"
)

// longBody is a body that is forwarded before it has ended.
var longBody = strings.Repeat("a", 2*maxBufferedAnswer)

// TestStreamEndedInsideEventIsBrokenOff guards against streams that are ended as complete though
// their replica broke them off.
func TestStreamEndedInsideEventIsBrokenOff(t *testing.T) {
	two := event(1) + event(2)
	all := two + event(3) + event(4) + event(5)
	tests := []struct {
		name     string
		route    routing.Route
		scripts  []script
		body     string
		complete bool
	}{
		{"closed inside an event", streaming, []script{respond(closeHead+two+half, false)}, two, false},
		{"closed inside an event and resumed", resumable, []script{respond(closeHead+two+half, false), resumeAfter}, all, true},
		{"closed inside an event twice", resumable, []script{respond(closeHead+two+half, false), respond(closeHead+event(3)+half, false)}, two + event(3), false},
		{"closed behind a field", streaming, []script{respond(closeHead+two+"id: 3\n", false)}, two, false},
		{"closed behind the data", streaming, []script{respond(closeHead+two+"id: 3\ndata: e3\n", false)}, two, false},
		{"closed inside a comment", streaming, []script{respond(closeHead+two+": pi", false)}, two, false},
		{"chunks ended inside an event", streaming, []script{respond(streamHead+chunk(two+half)+chunk(""), true)}, two, false},
		{"chunks ended inside an event and resumed", resumable, []script{respond(streamHead+chunk(two+half)+chunk(""), true), resumeAfter}, all, true},
		{"resumed, closed before an event", resumable, []script{respond(closeHead+two+half, false), respond(closeHead, false)}, two, false},
		{"closed before the first event and retried", resumable, []script{respond(closeHead, false), resumeAfter}, all, true},
		{"closed between events", streaming, []script{respond(closeHead+two, false)}, two, true},
		{"closed behind a comment", streaming, []script{respond(closeHead+two+": ping\n", false)}, two + ": ping\n", true},
		{"closed behind an event with CR line ends", streaming, []script{respond(closeHead+"id: 1\rdata: e1\r\r", false)}, "id: 1\rdata: e1\r\r", true},
		{"chunks without any event", streaming, []script{respond(streamHead+chunk(""), true)}, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, tt.route, tt.scripts...)
			b.loadOtherReplicas()
			resp, body, complete := b.send(post("Content-Length: 0\r\n", ""))
			if resp == nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("answer = %v", resp)
			}
			if diff := cmp.Diff(tt.body, body); diff != "" {
				t.Errorf("stream (-want +got):\n%s", diff)
			}
			if complete != tt.complete {
				t.Errorf("complete = %v, want %v", complete, tt.complete)
			}
		})
	}
}

// checkPost sends a POST request and checks the answer, and whether its body is complete.
func (b *fixture) checkPost(t *testing.T, status int, want string, wantComplete bool) {
	t.Helper()
	resp, body, complete := b.send(post("Content-Length: 0\r\n", ""))
	if resp == nil || resp.StatusCode != status || complete != wantComplete {
		t.Errorf("answer = %v, complete %v, want %v", resp, complete, wantComplete)
	}
	if diff := cmp.Diff(want, body); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
}

// TestAnswerThatEndsWithItsReplicaIsBrokenOff guards against answers with neither length nor chunks that
// look complete because the connections of a crashed replica are closed in order.
func TestAnswerThatEndsWithItsReplicaIsBrokenOff(t *testing.T) {
	two := event(1) + event(2)
	tests := []struct {
		name     string
		route    routing.Route
		answer   string
		next     script
		status   int
		body     string
		complete bool
	}{
		{"stream", streaming, closeHead + two, nil, http.StatusOK, two, false},
		{"resumable stream", resumable, closeHead + two, resumeAfter, http.StatusOK, two + event(3) + event(4) + event(5), true},
		{"answer", nonIdempotent, plainHead + "hel", nil, http.StatusBadGateway, "failed\n", true},
		{"idempotent answer", idempotent, plainHead + "hel", respond(okAnswer, true), http.StatusOK, "hello", true},
		{"long answer", nonIdempotent, plainHead + longBody, nil, http.StatusOK, longBody, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b *fixture
			scripts := []script{endingReplica(&b, false, tt.answer)}
			if tt.next != nil {
				scripts = append(scripts, tt.next)
			}
			b = newFixture(t, tt.route, scripts...)
			b.loadOtherReplicas()
			b.checkPost(t, tt.status, tt.body, tt.complete)
		})
	}
}

// TestKilledReplicaBreaksOffAnswers guards against answers with neither length nor chunks that look
// complete because the kernel closes the listening socket of a killed replica after its connections, so
// that the replica seems to accept another one.
func TestKilledReplicaBreaksOffAnswers(t *testing.T) {
	const exitTime = 40 * time.Millisecond
	two := event(1) + event(2)
	tests := []struct {
		name     string
		route    routing.Route
		answer   string
		status   int
		body     string
		complete bool
	}{
		{"stream", streaming, closeHead + two, http.StatusOK, two, false},
		{"answer", nonIdempotent, plainHead + "hel", http.StatusBadGateway, "failed\n", true},
		{"long answer", nonIdempotent, plainHead + longBody, http.StatusOK, longBody, false},
		{"error", nonIdempotent, strings.Replace(plainHead, "200 OK", "500 Oops", 1) + "fai", http.StatusBadGateway, "failed\n", true},
		{"not found", nonIdempotent, strings.Replace(plainHead, "200 OK", "404 No", 1) + "no su", http.StatusBadGateway, "failed\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b *fixture
			b = newFixture(t, tt.route, func(c net.Conn, r *http.Request, body string) bool {
				b.group.Go(func() error {
					time.Sleep(exitTime)
					b.crash("a")
					return nil
				})
				return respond(tt.answer, false)(c, r, body)
			})
			b.checkPost(t, tt.status, tt.body, tt.complete)
		})
	}
}

// TestPlannedExitEndsAnswers guards against answers with neither length nor chunks that are cut off
// because their replica has exited behind them as planned. Before its drain time is over, or without an
// announcement, its end is a crash.
func TestPlannedExitEndsAnswers(t *testing.T) {
	two := event(1) + event(2)
	tests := []struct {
		name     string
		route    routing.Route
		answer   string
		body     string
		drain    time.Duration
		complete bool
	}{
		{"stream", streaming, closeHead + two, two, time.Millisecond, true},
		{"stream inside an event", streaming, closeHead + two + half, two, time.Millisecond, false},
		{"stream before the end of the drain time", streaming, closeHead + two, two, time.Minute, false},
		{"answer", nonIdempotent, plainHead + "hello", "hello", time.Millisecond, true},
		{"long answer", nonIdempotent, plainHead + longBody, longBody, time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b *fixture
			b = newFixture(t, tt.route, endingReplica(&b, true, tt.answer))
			b.proxy.DrainTime = func() time.Duration { return tt.drain }
			b.checkPost(t, http.StatusOK, tt.body, tt.complete)
		})
	}
}

// TestStreamClosedBeforeFirstEventFails guards against an empty answer that looks complete.
func TestStreamClosedBeforeFirstEventFails(t *testing.T) {
	b := newFixture(t, streaming, respond(closeHead, false))
	resp, body, _ := b.send(post("Content-Length: 0\r\n", ""))
	if resp == nil || resp.StatusCode != http.StatusBadGateway || strings.Contains(body, "data:") {
		t.Errorf("answer = %v %q, want status %d", resp, body, http.StatusBadGateway)
	}
}

// TestAbortedAnswerWithoutLengthIsReset guards against answers that look complete to HTTP/1.0
// clients, for whom the end of the connection ends an answer.
func TestAbortedAnswerWithoutLengthIsReset(t *testing.T) {
	two := event(1) + event(2)
	tests := []struct {
		name     string
		route    routing.Route
		script   script
		complete bool
	}{
		{"stream", streaming, respond(streamHead+chunk(two)+chunk(""), false), true},
		{"broken stream", streaming, respond(streamHead+chunk(two), false), false},
		{"answer", nonIdempotent, respond(chunkedHead+chunk(longBody)+chunk(""), false), true},
		{"broken answer", nonIdempotent, respond(chunkedHead+chunk(longBody), false), false},
	}
	for _, buffered := range []int64{0, 1 << 20} {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%s with %d bytes of buffers", tt.name, buffered), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				b := newFixtureOn(t, l, func(f *Proxy) { f.AnswerMemory = buffered }, tt.route, tt.script)
				resp, body, complete := b.send(strings.Replace(post("Content-Length: 0\r\n", ""), "HTTP/1.1", "HTTP/1.0", 1))
				if resp == nil || resp.StatusCode != http.StatusOK || complete != tt.complete {
					t.Errorf("answer = %v, %d bytes, complete %v, want %v", resp, len(body), complete, tt.complete)
				}
			})
		}
	}
}

// TestErrorIsNotAppendedToBegunStream guards against the text of an error in the middle of a
// stream that broke off and is resumed.
func TestErrorIsNotAppendedToBegunStream(t *testing.T) {
	const failure = "{\"error\":\"no such run\"}"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(failure))
	const signed = "Id: ID\r\nSignature: s\r\n"
	two := event(1) + event(2)
	answers := map[string]string{
		"500":                      "HTTP/1.1 500 Oops\r\n" + signed + length + "\r\n" + failure,
		"500 until the close":      "HTTP/1.1 500 Oops\r\n" + signed + "\r\n" + failure,
		"404":                      "HTTP/1.1 404 Gone\r\n" + signed + length + "\r\n" + failure,
		"unsigned 404":             "HTTP/1.1 404 Gone\r\nId: ID\r\n" + length + "\r\n" + failure,
		"204":                      "HTTP/1.1 204 None\r\n" + signed + "\r\n",
		"206":                      "HTTP/1.1 206 Part\r\n" + signed + length + "\r\n" + failure,
		"200 of another type":      "HTTP/1.1 200 OK\r\n" + signed + "Content-Type: application/json\r\n" + length + "\r\n" + failure,
		"200 without a type":       "HTTP/1.1 200 OK\r\n" + signed + length + "\r\n" + failure,
		"200 until the close":      "HTTP/1.1 200 OK\r\n" + signed + "\r\n" + failure,
		"head inside the body":     closeHead + "HTTP/1.1 500 Oops\r\n" + signed + length + "\r\n" + failure,
		"refusal":                  "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\n" + length + "\r\n" + failure,
		"redirect":                 "HTTP/1.1 302 Found\r\nId: ID\r\nLocation: /x\r\n" + length + "\r\n" + failure,
		"bytes that are no answer": failure,
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, resumable, reset(streamHead+chunk(two+half)), respond(answer, false))
			b.loadOtherReplicas()
			resp, body, complete := b.send(post("Content-Length: 0\r\n", ""))
			if resp == nil || resp.StatusCode != http.StatusOK || complete {
				t.Errorf("answer = %v, complete %v, want a broken stream", resp, complete)
			}
			if diff := cmp.Diff(two, body); diff != "" {
				t.Errorf("stream (-want +got):\n%s", diff)
			}
			if n := len(b.requests()); n != 2 {
				t.Errorf("%d requests reached replicas, want 2", n)
			}
		})
	}
}

// TestStreamWithoutIDsIsNotResumed guards against a stream that begins anew behind events without
// ids.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	const first = "data: e1\n\n"
	b := newFixture(t, resumable, reset(streamHead+chunk(first)), respond(streamHead+chunk(first)+chunk(""), true))
	b.loadOtherReplicas()
	_, body, complete := b.send(post("Content-Length: 0\r\n", ""))
	if body != first || complete {
		t.Errorf("stream %q, complete %v, want only the first event", body, complete)
	}
	if n := len(b.requests()); n != 1 {
		t.Errorf("%d requests reached replicas, want 1", n)
	}
}
