package relay

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"peridotusher.example/peridotusher/placing"
)

// paced is an answer of a replica that tells a pace.
func paced(pace string) string {
	return "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nPace: " + pace + "\r\nContent-Length: 5\r\n\r\nhello"
}

// askMany asks for n calls with ids of their own.
func askMany(b *bed, n int) {
	for i := range n {
		b.ask(strings.Replace(get(""), "Id: 1", fmt.Sprintf("Id: %d", i), 1))
	}
}

// TestSlowReplicaIsAvoided guards against calls to a replica that tells that it is slow,
// and against estimates whose error is not counted.
func TestSlowReplicaIsAvoided(t *testing.T) {
	const calls = 60
	b := newBed(t, repeatable, say(paced("8"), true), say(paced("1"), true))
	askMany(b, calls)
	slow := 0
	for _, r := range b.requests() {
		if r.replica == "a" { // of the own zone
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

// TestWithoutPace guards against estimates and their counters where no replica tells a
// pace.
func TestWithoutPace(t *testing.T) {
	b := newBed(t, once, say(fine, true), say(fine, true))
	story := logged(t, b, get(""))
	if len(story) != 1 || story[0].Fields["expected"] != "" || story[0].Fields["reason"] != placing.ReasonLeastLoaded {
		t.Errorf("story %v, want an answer of the least loaded replica", story)
	}
	var out bytes.Buffer
	b.counters.WritePrometheus(&out)
	if strings.Contains(out.String(), "expected_error") {
		t.Errorf("errors of estimates are counted:\n%s", out.String())
	}
}

// lines keeps the kinds and fields of events.
type lines struct{ kept chan string }

func (l lines) Event(kind string, fields ...any) {
	select {
	case l.kept <- kind + " " + fmt.Sprint(fields...):
	default:
	}
}

// TestMalformedLoadIsLoggedOnce guards against a malformed load that is silent, fills the
// log, or makes a good answer fail.
func TestMalformedLoadIsLoggedOnce(t *testing.T) {
	long := strings.Repeat("9", 3*malformedMost)
	b := newBed(t, once, say("HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nMalformed: "+long+"\r\nContent-Length: 5\r\n\r\nhello", true))
	log := lines{make(chan string, 100)}
	b.front.Log = log
	for range 5 {
		if resp, body, _ := b.ask(get("")); resp == nil || body != "hello" {
			t.Fatalf("answer %v, %q", resp, body)
		}
	}
	for range 100 {
		if b.front.Active() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	malformed := 0
	for range len(log.kept) {
		line := <-log.kept
		if strings.HasPrefix(line, "malformed ") {
			malformed++
			if strings.Contains(line, long) || !strings.Contains(line, long[:malformedMost]) {
				t.Errorf("the line %s, want the first %d bytes of the load", line, malformedMost)
			}
		}
	}
	if malformed != 1 {
		t.Errorf("%d lines for a replica with a malformed load, want 1", malformed)
	}
	if r := b.front.Table.Ready("s")[0]; r.ReportsPace() {
		t.Error("a malformed load counts as a pace")
	}
}
