package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/budget"
	"peridotusher.example/peridotusher/overload"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// testDialect implements Dialect with names of its own.
type testDialect struct{}

func (testDialect) Call(h http.Header) Call {
	c := Call{ID: h.Get("Id"), Key: h.Get("Key")}
	if d, err := time.ParseDuration(h.Get("Patience")); err == nil {
		c.Patience = d
	}
	if n, err := strconv.Atoi(h.Get("Tokens")); err == nil {
		c.Tokens = n
	}
	for i, part := range strings.Fields(h.Get("Prompt")) {
		tokens := 100
		if strings.HasPrefix(part, "large") {
			tokens = largeRead
		}
		c.Prompt = append(c.Prompt, Part{ID: uint64(len(part)*1000 + i), Tokens: tokens})
	}
	return c
}

func (testDialect) Own(name string) bool { return name == "Id" }

func (testDialect) Strip(h http.Header) {
	for _, name := range []string{"Key", "Organisation", "Replica", "Left", "Source"} {
		h.Del(name)
	}
}

func (testDialect) Sent(h http.Header, s Send) {
	h.Set("Replica", s.Replica)
	h.Set("Left", s.Left.String())
	if s.Organisation != "" {
		h.Set("Organisation", s.Organisation)
	}
	if s.Source != "" {
		h.Set("Source", s.Source)
	}
	if s.After != "" {
		h.Set("Last-Event-Id", s.After)
	}
}

func (testDialect) Reply(resp *http.Response) Reply {
	r := Reply{
		ID: resp.Header.Get("Id"), NotRun: resp.Header.Get("Not-Run") != "",
		Misdirected: resp.StatusCode == http.StatusMisdirectedRequest, Signed: resp.Header.Get("Signature") != "",
		MalformedLoad: resp.Header.Get("Malformed"),
	}
	if text := resp.Header.Get("Pace"); text != "" {
		r.Slots = 4
		if _, err := fmt.Sscan(text, &r.Pace); err != nil {
			r.MalformedLoad = text
		}
	}
	return r
}

// discard is a Log that keeps nothing.
type discard struct{}

func (discard) Event(string, ...any) {}

// got is one request as a replica received it.
type got struct {
	replica string
	target  string
	header  http.Header
	body    string
}

// script answers one request on a connection and reports whether it goes on.
type script func(c net.Conn, r *http.Request, body string) bool

// beds counts the beds of this process.
var beds atomic.Int64

// bed is a front with scripted replicas.
type bed struct {
	t *testing.T
	// id is that of the requests that unique returns.
	id    string
	front *Front
	url   string
	// counters are those of the front.
	counters *metrics.Set
	group    errgroup.Group
	stop     func() // ends the front

	listeners []net.Listener

	mu       sync.Mutex
	received []got
}

// newBed returns a front before one replica for each script; a nil script stands
// for a replica that cannot be connected to.
func newBed(t *testing.T, route routing.Route, scripts ...script) *bed {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newBedOn(t, l, func(*Front) {}, route, scripts...)
}

// newBedOn is newBed with a listener and with changes of the front before it runs.
func newBedOn(t *testing.T, l net.Listener, change func(*Front), route routing.Route, scripts ...script) *bed {
	t.Helper()
	clock := steady
	b := &bed{t: t, id: fmt.Sprint(os.Getpid(), "-", beds.Add(1)), counters: metrics.NewSet()}
	table := replicas.NewTable(clock)
	var entries []replicas.Entry
	for i, s := range scripts {
		id := string(rune('a' + i))
		entries = append(entries, replicas.Entry{ID: id, Service: "s", Address: b.replica(id, s), Zone: id, Slots: 4, Revision: 1})
	}
	table.Offer(entries)
	route.Name, route.Host, route.Prefix = "r", "h.example", "/p/"
	route.Shares = []routing.Share{{Service: "s", Weight: 1}}
	doc := &routing.Document{
		Version: 1, Routes: []*routing.Route{&route},
		Limits:        routing.Limits{HeaderBytes: 2000, BodyBytes: 100000},
		Organisations: []*routing.Organisation{{Name: "shop", Keys: []string{"k"}}},
	}
	doc.Seal()
	current := routing.NewCurrent()
	current.Offer(doc)
	b.front = &Front{
		Zone: "a", Clock: clock, Current: current, Table: table, Directory: placing.NewDirectory(clock, placing.Origin{Name: "r0", Incarnation: 1}), Dialect: testDialect{},
		Reads: placing.NewReads(clock), Broadcast: func() {}, MarkLeaving: func(r *replicas.Replica, _ string) { table.MarkLeaving(r) },
		CacheHolders: func(context.Context, uint64) []placing.CacheHolder { return nil }, PublishPlacements: func(placing.Event, ...placing.Placement) {},
		Budget: budget.New(budget.Config{Ratio: 0.2, Window: 10 * time.Second, Extra: 100}, clock),
		Pool:   NewPool(clock), Metrics: NewMetrics(b.counters), Log: discard{}, Routers: func() int { return 1 }, Gate: overload.NewGate(clock), Multiple: 2, BodyMemory: 1 << 20, Connections: 100,
	}
	change(b.front)
	b.url = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	b.group.Go(func() error { return b.front.Run(ctx, l, func() time.Duration { return time.Second }) })
	t.Cleanup(func() {
		cancel()
		for _, l := range b.listeners {
			_ = l.Close() // ends the group's accepting
		}
		b.front.Pool.Close()
		if err := b.group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return b
}

// replica listens and answers by the script.
func (b *bed) replica(id string, s script) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	address := l.Addr().String()
	if s == nil {
		if err := l.Close(); err != nil {
			b.t.Fatal(err)
		}
		return address
	}
	b.listeners = append(b.listeners, l)
	b.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			b.group.Go(func() error {
				b.converse(id, c, s)
				return nil
			})
		}
	})
	return address
}

func (b *bed) converse(id string, c net.Conn, s script) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if pause, err := time.ParseDuration(r.Header.Get("Pause")); err == nil {
			time.Sleep(pause) // the replica is slow to read the body
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.received = append(b.received, got{id, r.RequestURI, r.Header, string(body)})
		b.mu.Unlock()
		if !s(c, r, string(body)) {
			return
		}
	}
}

// requests returns what the replicas received.
func (b *bed) requests() []got {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]got(nil), b.received...)
}

// say is a script that writes text, in which ID stands for the request's id.
func say(text string, goOn bool) script {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		return err == nil && goOn
	}
}

// reset is a script that writes text and then resets the connection.
func reset(text string) script {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		time.Sleep(20 * time.Millisecond) // the text has to be read before the reset
		if tcp, ok := c.(*net.TCPConn); ok && err == nil {
			_ = tcp.SetLinger(0)
		}
		return false
	}
}

// ask sends a raw request and returns the answer and whether its body is whole.
func (b *bed) ask(raw string) (resp *http.Response, body string, whole bool) {
	b.t.Helper()
	c := b.dial()
	return b.askOn(c, bufio.NewReader(c), raw)
}

// awaitIdle waits until the front knows that connections are idle: it learns that after
// their clients have the answers.
func (b *bed) awaitIdle(want int) {
	b.t.Helper()
	idle := 0
	for range 500 {
		conns := b.front.conns.Load()
		conns.mu.Lock()
		idle = len(conns.idle)
		conns.mu.Unlock()
		if idle == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatalf("%d connections are idle, want %d", idle, want)
}

// dial opens a connection to the front for the length of the test.
func (b *bed) dial() net.Conn {
	b.t.Helper()
	c, err := net.Dial("tcp", b.url)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (b *bed) askOn(c net.Conn, br *bufio.Reader, raw string) (resp *http.Response, body string, whole bool) {
	b.t.Helper()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		b.t.Fatal(err)
	}
	if _, err := io.WriteString(c, raw); err != nil {
		return nil, "", false
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, "", false
	}
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err == nil
}

// get and post return raw requests.
func get(extra string) string {
	return "GET /p/x%2Fy?q=1 HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nPatience: 2s\r\n" + extra + "\r\n"
}

func post(extra, body string) string {
	return "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nPatience: 2s\r\n" + extra + "\r\n" + body
}

// unique returns a raw request with an id that no other test uses: a request with another id
// at a replica of the bed is of a test whose port it has got.
func (b *bed) unique(raw string) string {
	return strings.Replace(raw, "\r\nId: 1\r\n", "\r\nId: "+b.id+"\r\n", 1)
}
