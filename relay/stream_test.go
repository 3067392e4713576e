package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/budget"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// entryAt returns the entry of a replica with four slots.
func entryAt(id, address string) []replicas.Entry {
	return []replicas.Entry{{ID: id, Service: "s", Address: address, Zone: "a", Slots: 4, Revision: 1}}
}

const streamHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk encodes text as a chunk; an empty one ends the body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// event returns the n-th event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n) }

// resumeAfter is a script that sends the events after the client's last one, up to event 5.
func resumeAfter(c net.Conn, r *http.Request, _ string) bool {
	after := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &after)
	}
	text := strings.ReplaceAll(streamHead, "ID", r.Header.Get("Id"))
	for n := after + 1; n <= 5; n++ {
		text += chunk(event(n))
	}
	_, err := io.WriteString(c, text+chunk(""))
	return err == nil
}

func TestStreams(t *testing.T) {
	all := event(1) + event(2) + event(3) + event(4) + event(5)
	broken := streamHead + chunk(event(1)) + chunk(event(2)+"id: 3\nda")
	tests := []struct {
		name     string
		route    routing.Route
		scripts  []script
		body     string
		complete bool
		sent     int
	}{
		{"complete", streaming, []script{resumeAfter}, all, true, 1},
		{"broken", streaming, []script{reset(broken), reset(broken)}, event(1) + event(2), false, 1},
		{"broken and resumed", resumable, []script{reset(broken), reset(broken), resumeAfter}, "", false, 2},
		{"closed early and resumed", resumable, []script{respond(broken, false), resumeAfter}, all, true, 2},
		{"silent and retried elsewhere", resumable, []script{func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = c.Read(make([]byte, 1)) // silent until the router closes
			return false
		}, resumeAfter}, all, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t, tt.route, tt.scripts...)
			// The other replicas have more load, so that the first one is tried first.
			for i, id := range []string{"b", "c"} {
				if r, ok := b.proxy.Table.Find(replicas.HashOf(id, 0)); ok {
					for range i + 1 {
						defer r.Acquire()()
					}
				}
			}
			resp, body, complete := b.send(post("Prompt: a bb ccc\r\nContent-Length: 0\r\n", ""))
			if resp == nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("answer = %v", resp)
			}
			if complete != tt.complete && tt.body != "" {
				t.Errorf("complete = %v, want %v", complete, tt.complete)
			}
			if tt.body != "" {
				if diff := cmp.Diff(tt.body, body); diff != "" {
					t.Errorf("stream (-want +got):\n%s", diff)
				}
			}
			if complete && body != all {
				t.Errorf("an incomplete stream ended as if complete: %q", body)
			}
		})
	}
}

// TestSlowReplicaIsAwaited has replicas pause for longer than the time after which another one is
// tried. With the retry budget exhausted, the late answer must not be aborted, since there can be
// no other.
func TestSlowReplicaIsAwaited(t *testing.T) {
	const pause = 400 * time.Millisecond
	slowHead := func(c net.Conn, r *http.Request, body string) bool {
		time.Sleep(pause)
		return resumeAfter(c, r, body)
	}
	slowEvent := func(c net.Conn, r *http.Request, _ string) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "ID", r.Header.Get("Id"))+chunk(event(1))) // an error would show at the client
		time.Sleep(pause)
		_, err := io.WriteString(c, chunk(event(2)+event(3)+event(4)+event(5))+chunk(""))
		return err == nil
	}
	all := event(1) + event(2) + event(3) + event(4) + event(5)
	for name, slow := range map[string]script{"head": slowHead, "event": slowEvent} {
		for _, extra := range []float64{0, 100} {
			t.Run(fmt.Sprintf("%s with a budget of %v", name, extra), func(t *testing.T) {
				route := resumable
				route.Objective = pause / 5
				b := newFixture(t, route, slow, resumeAfter)
				b.proxy.RetryBudget = budget.New(budget.Config{Ratio: 0, Window: time.Minute, Extra: extra}, b.proxy.Clock)
				fast, _ := b.proxy.Table.Find(replicas.HashOf("b", 0))
				for range fast.Slots() { // full, so that the slow one is tried first
					release := fast.Acquire()
					time.AfterFunc(pause/40, release)
				}
				resp, body, complete := b.send(post("Prompt: a bb ccc\r\nContent-Length: 0\r\n", ""))
				if resp == nil || resp.StatusCode != http.StatusOK || !complete {
					t.Fatalf("answer = %v, complete %v", resp, complete)
				}
				if diff := cmp.Diff(all, body); diff != "" {
					t.Errorf("stream (-want +got):\n%s", diff)
				}
				if want := 1 + int(min(extra, 1)); len(b.requests()) != want {
					t.Errorf("%d requests reached replicas, want %d", len(b.requests()), want)
				}
			})
		}
	}
}

// TestSourceIsAlive has parts of a prompt at replicas that have answered, have not answered and
// cannot be reached: only the first may be named as a source.
func TestSourceIsAlive(t *testing.T) {
	b := newFixture(t, streaming, resumeAfter, resumeAfter, resumeAfter, resumeAfter)
	f := b.proxy
	byID := func(id string) *replicas.Replica {
		r, ok := f.Table.Find(replicas.HashOf(id, 0))
		if !ok {
			t.Fatalf("no replica %s", id)
		}
		return r
	}
	const prompt = "Prompt: a bb ccc\r\nContent-Length: 0\r\n"
	key := testDialect{}.ReadCall(http.Header{"Prompt": {"a bb ccc"}}).Prompt[1].ID
	for _, id := range []string{"b", "c", "d"} {
		f.Directory.Place(placing.Placement{Key: key, Replica: byID(id).Hash()})
		for range 4 {
			defer byID(id).Acquire()() // full, so that the prompt is sent to a
		}
	}
	now := f.Clock.Now()
	byID("c").Record(now, replicas.Good)
	byID("d").Record(now, replicas.Good)
	b.proxy.markUnreachable(byID("d"))
	if resp, _, _ := b.send(post(prompt, "")); resp == nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("answer = %v", resp)
	}
	r := b.requests()[0]
	if got := r.header.Get("Source"); r.replica != "a" || got != byID("c").Address() {
		t.Errorf("replica %s got the source %q, want a and %q", r.replica, got, byID("c").Address())
	}
}

func TestEvents(t *testing.T) {
	text := event(1) + "data: no id\n\n" + "id: 7\r\ndata: x\r\n\r\n" + ": comment\n\n"
	for split := range len(text) {
		var e eventSplitter
		complete1, last1 := e.feed([]byte(text[:split]))
		got, last := string(complete1), last1
		complete2, last2 := e.feed([]byte(text[split:]))
		got += string(complete2)
		if last2 != "" {
			last = last2
		}
		if got != text || last != "7" || len(e.partial()) != 0 {
			t.Fatalf("split at %d: %q, last id %q, rest %q", split, got, last, e.partial())
		}
	}
}

// TestSourceFromOtherRouter has another router report a holder that is full and that the own
// directory does not know: it is named as the source.
func TestSourceFromOtherRouter(t *testing.T) {
	b := newFixture(t, streaming, resumeAfter, resumeAfter)
	f := b.proxy
	full, ok := f.Table.Find(replicas.HashOf("b", 0))
	if !ok {
		t.Fatal("no replica b")
	}
	f.CacheHolders = func(context.Context, uint64) []placing.CacheHolder {
		return []placing.CacheHolder{{Replica: full.Hash()}}
	}
	for range 4 {
		defer full.Acquire()() // full, so that the prompt is sent to a
	}
	full.Record(f.Clock.Now(), replicas.Good)
	if resp, _, _ := b.send(post("Prompt: a bb ccc\r\nContent-Length: 0\r\n", "")); resp == nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("answer = %v", resp)
	}
	r := b.requests()[0]
	if got := r.header.Get("Source"); r.replica != "a" || got != full.Address() {
		t.Errorf("replica %s got the source %q, want a and %q", r.replica, got, full.Address())
	}
}
