package engine_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/service"
	"peridotusher.example/peridotusher/standin"
)

// maxEndlessBytes is how many bytes an endless answer has at most, in case that they are all read.
const maxEndlessBytes = 96 << 20

// startEndless starts an endpoint that answers with a text and then with a filler without end.
func startEndless(t *testing.T, text, filler string) *standin.Endless {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &standin.Endless{Listener: l, Text: text, Filler: filler, MaxBytes: maxEndlessBytes}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // its function returns no error
	})
	return e
}

// endlessCalls are the calls to an engine or a service, each with the limit in bytes of its answer's
// body.
var endlessCalls = map[string]struct {
	body int64
	call func(ctx context.Context, c *engine.Client, address string) error
}{
	"load": {256 << 10, func(ctx context.Context, c *engine.Client, address string) error {
		_, err := c.Load(ctx, address)
		return err
	}},
	"state": {256 << 10, func(ctx context.Context, c *engine.Client, address string) error {
		_, err := c.State(ctx, address)
		return err
	}},
	"order": {256 << 10, func(ctx context.Context, c *engine.Client, address string) error {
		_, err := c.Order(ctx, address, engine.Order{ID: "o", Fence: 1, Kind: engine.OrderLeave})
		return err
	}},
	"cancel": {256 << 10, func(ctx context.Context, c *engine.Client, address string) error {
		return c.CancelStream(ctx, address, "s")
	}},
	"export": {16 << 20, func(ctx context.Context, c *engine.Client, address string) error {
		_, err := c.Export(ctx, address, "chat")
		return err
	}},
	"cache events": {4 << 20, func(ctx context.Context, c *engine.Client, address string) error {
		return c.CacheEvents(ctx, address, 9, func(engine.CacheEvent) error { return nil })
	}},
	"chat": {4 << 20, func(ctx context.Context, c *engine.Client, address string) error {
		stream, err := c.Chat(ctx, address, engine.Call{Request: peridotusher.Request{ID: "r"}, Body: []byte("{}")})
		if err != nil {
			return err
		}
		defer stream.Close()
		for err == nil {
			_, err = stream.Next()
		}
		return err
	}},
	"service": {16 << 20, func(ctx context.Context, _ *engine.Client, address string) error {
		client, closeClient, err := service.New(service.Options{})
		if err != nil {
			return err
		}
		defer closeClient()
		_, err = client.Call(ctx, address, service.Request{Method: http.MethodGet, Path: "/"})
		return err
	}},
}

// TestAnswersWithoutEnd guards against readers that keep or skip bytes without end. Each call must
// fail soon, after no more bytes than an answer may have and those that socket buffers take.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		ok         = "HTTP/1.1 200 OK\r\n"
		chunked    = ok + "Transfer-Encoding: chunked\r\n\r\n"
		maxHead    = 64 << 10
		maxSockets = 8 << 20
	)
	tests := []struct {
		name, text, filler string
		inHead             bool
	}{
		{"no answer", "", "z", true},
		{"status line", "HTTP/1.1 200 ", "O", true},
		{"head line", ok + "A: ", "a", true},
		{"head lines", ok, "A: aaaaaaaaaaaaa\r\n", true},
		{"informational answers", "", "HTTP/1.1 102 Wait\r\n\r\n", true},
		{"body until the close", ok + "\r\n", "a", false},
		{"body in chunks", chunked, "400\r\n" + strings.Repeat("a", 1<<10) + "\r\n", false},
		{"chunk extension", chunked, "a", true},
		{"trailers", chunked + "0\r\n", "A: aaaaaaaaaaaaa\r\n", true},
		{"error", "HTTP/1.1 500 Oops\r\n\r\n", "a", false},
		{"comments", ok + "\r\n", ": a\n\n", false},
		{"repeated events", ok + "\r\nid: s:0\ndata: x\n\n", "id: s:0\ndata: {\"sequence\":9}\n\n", false},
		{"fields", ok + "\r\n", "event: a\n", false},
	}
	for name, call := range endlessCalls {
		for _, tt := range tests {
			t.Run(name+" "+tt.name, func(t *testing.T) {
				t.Parallel()
				e := startEndless(t, tt.text, tt.filler)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				err := call.call(ctx, newClient(t, waitLimit), e.Listener.Addr().String())
				if err == nil || ctx.Err() != nil {
					t.Errorf("the call ended with %v", err)
				}
				limit := int64(maxHead)
				if !tt.inHead {
					limit = call.body
				}
				if n := e.Sent(); n > limit+maxSockets {
					t.Errorf("%d KB were read, %d KB allowed besides %d KB in socket buffers", n>>10, limit>>10, maxSockets>>10)
				}
			})
		}
	}
}

// TestHeadsOfManyNames guards against heads that take twenty times their size in memory.
func TestHeadsOfManyNames(t *testing.T) {
	names := ""
	for i := range 1000 {
		names += fmt.Sprintf("%x:\r\n", i)
	}
	for name, call := range endlessCalls {
		e := startEndless(t, "HTTP/1.1 200 OK\r\nX-Stream-Id: s\r\n"+names+"\r\nid: s:0\ndata: x\n\nid: s:1\ndata: [DONE]\n\n", "a")
		if err := call.call(testContext(t), newClient(t, waitLimit), e.Listener.Addr().String()); err == nil || !strings.Contains(err.Error(), "names") {
			t.Errorf("%s ended with %v", name, err)
		}
	}
}

// TestEndlessTextIsNotKept guards against a stream of valid chunks without end whose text is kept for
// another engine to continue.
func TestEndlessTextIsNotKept(t *testing.T) {
	chunk := []byte(`{"choices":[{"delta":{"content":"` + strings.Repeat("a", 1<<10) + `"}}]}`)
	body := []byte(`{"messages":[]}`)
	var p engine.PartialAnswer
	for range 1 << 10 {
		p.Add(chunk)
	}
	if _, ok := p.Continue(body); !ok {
		t.Error("1 MB of text cannot be continued")
	}
	for range 1 << 10 {
		p.Add(chunk)
	}
	if request, ok := p.Continue(body); ok {
		t.Errorf("a request to continue has %d bytes", len(request))
	}
}
