package relay

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"peridotusher.example/peridotusher/placing"
)

// pacedAnswer returns a replica's answer that reports a pace.
func pacedAnswer(pace string) string {
	return "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nPace: " + pace + "\r\nContent-Length: 5\r\n\r\nhello"
}

// sendMany sends n requests with different ids.
func sendMany(b *fixture, n int) {
	for i := range n {
		b.send(strings.Replace(get(""), "Id: 1", fmt.Sprintf("Id: %d", i), 1))
	}
}

// TestSlowReplicaIsAvoided guards against many calls to a replica that reports to be slow, and
// against estimates whose error is not recorded.
func TestSlowReplicaIsAvoided(t *testing.T) {
	const calls = 60
	b := newFixture(t, idempotent, respond(pacedAnswer("8"), true), respond(pacedAnswer("1"), true))
	sendMany(b, calls)
	slow := 0
	for _, r := range b.requests() {
		if r.replica == "a" { // in the own zone
			slow++
		}
	}
	if slow == 0 || slow > calls/6 {
		t.Errorf("%d of %d calls went to the slow replica", slow, calls)
	}
	var out bytes.Buffer
	b.counters.WritePrometheus(&out)
	counted := 0
	for line := range strings.Lines(out.String()) {
		if rest, ok := strings.CutPrefix(line, `peridotusher_expected_error_seconds_count{service="s",came="`); ok {
			n := 0
			if _, err := fmt.Sscan(rest[strings.Index(rest, " "):], &n); err != nil {
				t.Error(err)
			}
			counted += n
		}
	}
	if counted < calls/2 || counted > calls {
		t.Errorf("%d errors of estimates are counted for %d calls:\n%s", counted, calls, out.String())
	}
}

// TestNoEstimatesWithoutPace guards against estimates, and metrics of them, if no replica reports
// a pace.
func TestNoEstimatesWithoutPace(t *testing.T) {
	b := newFixture(t, nonIdempotent, respond(okAnswer, true), respond(okAnswer, true))
	lines := requestLog(t, b, get(""))
	if len(lines) != 1 || lines[0].Fields["expected"] != "" || lines[0].Fields["reason"] != placing.ReasonLeastLoaded {
		t.Errorf("log lines %v, want an answer of the least loaded replica", lines)
	}
	var out bytes.Buffer
	b.counters.WritePrometheus(&out)
	if strings.Contains(out.String(), "expected_error") {
		t.Errorf("errors of estimates are counted:\n%s", out.String())
	}
}

// eventRecorder is a Log that records kinds and fields of events.
type eventRecorder struct{ events chan string }

func (l eventRecorder) Event(kind string, fields ...any) {
	select {
	case l.events <- kind + " " + fmt.Sprint(fields...):
	default:
	}
}

// TestMalformedLoadIsLoggedOnce guards against a malformed load that is not logged, is logged for
// each answer, or makes a good answer fail.
func TestMalformedLoadIsLoggedOnce(t *testing.T) {
	long := strings.Repeat("9", 3*maxMalformedLog)
	b := newFixture(t, nonIdempotent, respond("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nMalformed: "+long+"\r\nContent-Length: 5\r\n\r\nhello", true))
	log := eventRecorder{make(chan string, 100)}
	b.proxy.Log = log
	for range 5 {
		if resp, body, _ := b.send(get("")); resp == nil || body != "hello" {
			t.Fatalf("answer %v, %q", resp, body)
		}
	}
	for range 100 {
		if b.proxy.Active() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	malformed := 0
	for range len(log.events) {
		line := <-log.events
		if strings.HasPrefix(line, "malformed ") {
			malformed++
			if strings.Contains(line, long) || !strings.Contains(line, long[:maxMalformedLog]) {
				t.Errorf("the line %s, want the first %d bytes of the load", line, maxMalformedLog)
			}
		}
	}
	if malformed != 1 {
		t.Errorf("%d lines for a replica with a malformed load, want 1", malformed)
	}
	if r := b.proxy.Table.Ready("s")[0]; r.ReportsPace() {
		t.Error("a malformed load counts as a pace")
	}
}
