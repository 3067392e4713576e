package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/standin"
)

// waitLimit bounds every wait for a condition.
const waitLimit = 20 * time.Second

// messages is the messages field of every test request.
const messages = `[{"content":"does size 38 <fit> & suit?","role":"user"}]`

// outcome is what a test compares of a Failure.
type outcome struct {
	Verdict string
	Cause   peridotusher.Cause
}

// outcomeOf returns the outcome of an error, empty for nil.
func outcomeOf(err error) outcome {
	if err == nil {
		return outcome{}
	}
	f := peridotusher.AsFailure(err)
	return outcome{f.Verdict().String(), f.Cause()}
}

// start runs a stand-in engine and returns its address.
func start(t *testing.T, e *standin.Engine) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.Listener = listener
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// newClient returns a client that abandons a stream after the time idle without data.
func newClient(t *testing.T, idle time.Duration) *engine.Client {
	t.Helper()
	client, closeClient, err := engine.New(engine.Options{
		IdleTimeout: idle,
		Clock:       peridotusher.ClockFunc(time.Now),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeClient)
	return client
}

// testContext returns a context that ends a hanging test.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	return ctx
}

// newCall returns a call whose answer has n tokens.
func newCall(id string, n int) engine.Call {
	return engine.Call{
		Request: peridotusher.Request{ID: peridotusher.RequestID(id), Chat: "chat-1"},
		Body:    fmt.Appendf(nil, `{"model":"m","messages":%s,"max_tokens":%d}`, messages, n),
	}
}

// content returns the text of an event's chunk.
func content(t *testing.T, event engine.Event) string {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(event.Data(), &chunk); err != nil {
		t.Fatal(err)
	}
	var text string
	for _, c := range chunk.Choices {
		text += c.Delta.Content
	}
	return text
}

// read returns the text of n events, or of all remaining events if n is negative.
func read(t *testing.T, s *engine.Stream, n int) (text string) {
	t.Helper()
	for i := 0; i != n; i++ {
		event, err := s.Next()
		if err == io.EOF && n < 0 {
			return text
		}
		if err != nil {
			t.Fatalf("event %d: %v", i, err)
		}
		text += content(t, event)
	}
	return text
}

func TestResumedAnswerIsComplete(t *testing.T) {
	const tokens = 12
	want, err := standin.EngineAnswer("r1", []byte(messages), tokens)
	if err != nil {
		t.Fatal(err)
	}
	for _, received := range []int{0, 1, 5, tokens, tokens + 2} {
		t.Run(fmt.Sprintf("closed after %d", received), func(t *testing.T) {
			e := &standin.Engine{Name: "e1"}
			address := start(t, e)
			client := newClient(t, waitLimit)
			call := newCall("r1", tokens)
			s, err := client.Chat(testContext(t), address, call)
			if err != nil {
				t.Fatal(err)
			}
			got := read(t, s, received)
			s.Close()
			call.LastEventID = s.LastEventID()
			if s, err = client.Chat(testContext(t), address, call); err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			got += read(t, s, -1)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(map[string]int{"r1": 1}, e.Stats().Runs); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

func TestChatFailure(t *testing.T) {
	tests := []struct {
		name string
		set  func(*standin.Engine)
		edit func(*engine.Call)
		want outcome
	}{
		{
			name: "dial refused",
			set:  func(e *standin.Engine) { e.SetCrashed() },
			want: outcome{"not-run", peridotusher.CauseEndpointLost},
		},
		{
			name: "refused before running",
			set:  func(e *standin.Engine) { e.RefuseNew(true) },
			want: outcome{"not-run", peridotusher.CauseOverloaded},
		},
		{
			name: "version not loaded",
			edit: func(c *engine.Call) { c.Version = "v2" },
			want: outcome{"not-run", peridotusher.CauseOverloaded},
		},
		{
			name: "body is not JSON",
			edit: func(c *engine.Call) { c.Body = []byte("{") },
			want: outcome{"not-run", peridotusher.CauseBadRequest},
		},
		{
			name: "resume with dial refused",
			set:  func(e *standin.Engine) { e.SetCrashed() },
			edit: func(c *engine.Call) { c.LastEventID = "s:1" },
			want: outcome{"may-have-run", peridotusher.CauseEndpointLost},
		},
		{
			name: "resume of an unknown stream",
			edit: func(c *engine.Call) { c.LastEventID = "s:1" },
			want: outcome{"may-have-run", peridotusher.CauseEndpointError},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &standin.Engine{Name: "e1", Models: []standin.EngineModel{{Model: "m", Version: "v1"}}}
			address := start(t, e)
			if tt.set != nil {
				tt.set(e)
			}
			call := newCall("r1", 1)
			if tt.edit != nil {
				tt.edit(&call)
			}
			_, err := newClient(t, waitLimit).Chat(testContext(t), address, call)
			if diff := cmp.Diff(tt.want, outcomeOf(err)); diff != "" {
				t.Errorf("failure (-want +got):\n%s", diff)
			}
			if got := len(e.Stats().Runs); got != 0 {
				t.Errorf("engine ran %d requests, want none", got)
			}
		})
	}
}

func TestNextFailure(t *testing.T) {
	const idle = time.Second
	tests := []struct {
		name      string
		fail      func(*standin.Engine)
		cause     peridotusher.Cause
		misplaced bool
	}{
		{"crash", func(e *standin.Engine) { e.SetCrashed() }, peridotusher.CauseEndpointLost, false},
		{"no more data", func(e *standin.Engine) { e.SilenceOpen() }, peridotusher.CauseEndpointLost, false},
		{"event of another stream", func(e *standin.Engine) { e.CrossEvents(1) }, peridotusher.CauseEndpointError, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &standin.Engine{Name: "e1", TokenTime: time.Millisecond}
			address := start(t, e)
			s, err := newClient(t, idle).Chat(testContext(t), address, newCall("r1", 1_000_000))
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			read(t, s, 1)
			tt.fail(e)
			for err == nil {
				_, err = s.Next()
			}
			if diff := cmp.Diff(outcome{"ran", tt.cause}, outcomeOf(err)); diff != "" {
				t.Errorf("failure (-want +got):\n%s", diff)
			}
			if got := errors.Is(err, engine.ErrMisplacedEvent); got != tt.misplaced {
				t.Errorf("errors.Is(%v, ErrCrossed) = %v, want %v", err, got, tt.misplaced)
			}
		})
	}
}

func TestCancelStopsGeneration(t *testing.T) {
	e := &standin.Engine{Name: "e1", TokenTime: time.Millisecond}
	address := start(t, e)
	s, err := newClient(t, waitLimit).Chat(testContext(t), address, newCall("r1", 1_000_000))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	read(t, s, 1)
	if err := s.Cancel(testContext(t)); err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = s.Next()
	}
	if err == io.EOF {
		t.Error("a canceled stream ended like a complete answer")
	}
	if stats := e.Stats(); stats.Cancelled != 1 || stats.Running != 0 {
		t.Errorf("canceled %d and running %d, want 1 and 0", stats.Cancelled, stats.Running)
	}
}

// serveRaw starts a server that answers each request with a fixed text and closes
// the connection. It returns its address and a function that counts the requests.
func serveRaw(t *testing.T, answer string) (string, func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests := make(chan string, 100)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		requests <- r.URL.Path
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		io.WriteString(conn, answer)
		conn.Close()
	})}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		server.Close()
		group.Wait()
	})
	return listener.Addr().String(), func() int { return len(requests) }
}

func TestBrokenAnswer(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	tests := []struct {
		name   string
		answer string
		want   outcome
	}{
		{"closed without an answer", "", outcome{"may-have-run", peridotusher.CauseEndpointLost}},
		{"end without the done marker", header + "\r\n", outcome{"may-have-run", peridotusher.CauseEndpointLost}},
		{"closed inside an event", header + "\r\nid: s:0\ndata: {}\n\nid: s:1\nda", outcome{"ran", peridotusher.CauseEndpointLost}},
		{"closed behind the data of an event", header + "\r\nid: s:0\ndata: {}\n\nid: s:1\ndata: {}\n", outcome{"ran", peridotusher.CauseEndpointLost}},
		{"closed inside the done marker", header + "\r\nid: s:0\ndata: {}\n\ndata: [DONE]\n", outcome{"ran", peridotusher.CauseEndpointLost}},
		{"event without an id", header + "\r\ndata: {}\n\n", outcome{"may-have-run", peridotusher.CauseEndpointError}},
		{"first event is not the first", header + "\r\nid: s:1\ndata: {}\n\n", outcome{"may-have-run", peridotusher.CauseEndpointError}},
		{"answer to another request", header + "X-Request-Id: r2\r\n\r\n", outcome{"may-have-run", peridotusher.CauseEndpointError}},
		{"status without a verdict", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", outcome{"may-have-run", peridotusher.CauseEndpointError}},
		{"event over the size limit", header + "\r\ndata: " + strings.Repeat("x", 2<<20), outcome{"may-have-run", peridotusher.CauseEndpointError}},
		{"done marker of another stream", header + "\r\nid: s:0\ndata: {}\n\nid: t:1\ndata: [DONE]\n\n", outcome{"ran", peridotusher.CauseEndpointError}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, requests := serveRaw(t, tt.answer)
			s, err := newClient(t, waitLimit).Chat(testContext(t), address, newCall("r1", 1))
			if err == nil {
				defer s.Close()
			}
			for err == nil {
				_, err = s.Next()
			}
			if err == io.EOF {
				t.Fatal("a broken answer ended like a complete one")
			}
			if diff := cmp.Diff(tt.want, outcomeOf(err)); diff != "" {
				t.Errorf("failure (-want +got):\n%s", diff)
			}
			if got := requests(); got != 1 {
				t.Errorf("engine received %d requests, want 1", got)
			}
		})
	}
}
