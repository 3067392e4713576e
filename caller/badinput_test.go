package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/examples"
)

// backend counts the requests that pass the server's checks. Its streams end only
// with their context.
type backend struct {
	calls  atomic.Int64
	events atomic.Int64
	closed atomic.Int64
}

// Chat implements Chats.
func (b *backend) Chat(ctx context.Context, _ ChatCall) (ChatStream, error) {
	b.calls.Add(1)
	return &endlessStream{ctx: ctx, backend: b}, nil
}

// Call implements Services.
func (b *backend) Call(context.Context, ServiceCall) (ServiceAnswer, error) {
	b.calls.Add(1)
	return ServiceAnswer{Status: http.StatusOK}, nil
}

// endlessStream returns large events until its context ends.
type endlessStream struct {
	ctx     context.Context
	backend *backend
}

// Next implements ChatStream.
func (e *endlessStream) Next() (ChatEvent, error) {
	if e.ctx.Err() != nil {
		return ChatEvent{}, peridotusher.FailWith(peridotusher.Ran, peridotusher.CauseDeadline, e.ctx.Err())
	}
	e.backend.events.Add(1)
	return ChatEvent{ID: "id", Data: []byte(strings.Repeat("x", 64<<10))}, nil
}

// Engine implements ChatStream.
func (e *endlessStream) Engine() string { return "engine" }

// Close implements ChatStream.
func (e *endlessStream) Close() { e.backend.closed.Add(1) }

// newServer returns a server on a free port that has not been started, and its address.
func newServer(t *testing.T, chats Chats, services Services) (*Server, string) {
	t.Helper()
	doc, problems := document.Parse("kalimera.ini", examples.Kalimera)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Server{
		Listener: l, Chats: chats, Services: services, Log: log,
		Document: func() *document.Document { return doc },
		Clock:    peridotusher.ClockFunc(time.Now),
		NewID:    func() string { return "r1" },
		Limits:   Limits{BodyBytes: 1000, HeaderTimeout: 100 * time.Millisecond, BodyTimeout: 100 * time.Millisecond},
		Drain:    time.Second,
	}, l.Addr().String()
}

func startServer(t *testing.T) (string, *backend) {
	t.Helper()
	b := &backend{}
	s, address := newServer(t, b, b)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return address, b
}

// exchange sends raw text and returns the status, verdict and code of the answer.
func exchange(t *testing.T, address, text string) []string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	// Writing fails if the server has refused the request and closed the connection.
	_, _ = io.WriteString(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return []string{"closed"}
	}
	defer resp.Body.Close()
	var body errorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return []string{resp.Status, "no error object"}
	}
	if diff := cmp.Diff(resp.Header.Get("X-Verdict"), body.Error.Verdict); diff != "" {
		t.Errorf("verdicts of header and object (-header +object):\n%s", diff)
	}
	if body.Error.Message == "" {
		t.Error("the error has no message")
	}
	return []string{resp.Status, body.Error.Verdict, body.Error.Code}
}

// post returns the text of a POST request.
func post(path, key, headers, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + key + "\r\n" + headers +
		"Connection: close\r\nContent-Length: " + jsonNumber(len(body)) + "\r\n\r\n" + body
}

func jsonNumber(n int) string {
	b, _ := json.Marshal(n)
	return string(b)
}

func TestBadInput(t *testing.T) {
	const (
		chats   = "/v1/chat/completions"
		key     = "kalimera-shop-megara-example-key"
		body    = `{"model":"stylist","messages":[{"role":"user","content":"size?"}]}`
		badReq  = "400 Bad Request"
		badKey  = "401 Unauthorized"
		unknown = "404 Not Found"
	)
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"no key", "POST " + chats + " HTTP/1.1\r\nHost: router\r\nContent-Length: 0\r\n\r\n", []string{badKey, "not-run", "invalid_api_key"}},
		{"unknown key", post(chats, "nobody", "", body), []string{badKey, "not-run", "invalid_api_key"}},
		{"unknown model", post(chats, key, "", strings.Replace(body, "stylist", "none", 1)), []string{unknown, "not-run", "model_not_found"}},
		{"unknown service", post("/services/none/x", key, "", ""), []string{unknown, "not-run", "not_found"}},
		{"unknown route", post("/v2", key, "", ""), []string{unknown, "not-run", "not_found"}},
		{"body too large", post(chats, key, "", strings.Repeat("x", 2000)), []string{"413 Request Entity Too Large", "not-run", "body_too_large"}},
		{"service body too large", post("/services/profiles/x", key, "", strings.Repeat("x", 2000)), []string{"413 Request Entity Too Large", "not-run", "body_too_large"}},
		{"malformed JSON", post(chats, key, "", "{"), []string{badReq, "not-run", "bad_request"}},
		{"JSON is not an object", post(chats, key, "", "[]"), []string{badReq, "not-run", "bad_request"}},
		{"no messages", post(chats, key, "", `{"model":"stylist"}`), []string{badReq, "not-run", "bad_request"}},
		{"unknown class", post(chats, key, "X-Class: none\r\n", body), []string{badReq, "not-run", "bad_request"}},
		{"class not allowed", post(chats, key, "X-Class: report\r\n", body), []string{badReq, "not-run", "bad_request"}},
		{"deadline is not a number", post(chats, key, "X-Deadline-Ms: soon\r\n", body), []string{badReq, "not-run", "bad_request"}},
		{"resume without streaming", post(chats, key, "Last-Event-ID: x\r\n", body), []string{badReq, "may-have-run", "bad_request"}},
		{"resume with an unknown class", post(chats, key, "X-Class: none\r\nLast-Event-ID: x\r\n", body), []string{badReq, "may-have-run", "bad_request"}},
		{"slow header", "POST " + chats + " HTTP/1.1\r\nHost:", []string{"closed"}},
		{"slow body", strings.TrimSuffix(post(chats, key, "", body), body) + "{", []string{badReq, "not-run", "bad_request"}},
	}
	address, b := startServer(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, exchange(t, address, tt.text)); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
	if got := b.calls.Load(); got != 0 {
		t.Errorf("%d requests passed the checks, want none", got)
	}
}

// TestSlowReader checks that a caller that does not read stops the reading from the
// engine, and that its stream is closed at its deadline.
func TestSlowReader(t *testing.T) {
	address, b := startServer(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := `{"model":"stylist","stream":true,"messages":[{"role":"user","content":"size?"}]}`
	if _, err := io.WriteString(conn, post("/v1/chat/completions", "kalimera-shop-megara-example-key", "X-Deadline-Ms: 500\r\n", body)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); b.closed.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the stream is still open")
		}
	}
	// The buffers of the sockets hold some megabytes; nothing else may buffer events.
	const maxEvents = (32 << 20) / (64 << 10)
	if got := b.events.Load(); got == 0 || got > maxEvents {
		t.Errorf("%d events of 64 KiB were read from the engine, want at most %d", got, maxEvents)
	}
}
