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
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// testDialect is a Dialect with its own header names.
type testDialect struct{}

func (testDialect) ReadCall(h http.Header) Call {
	c := Call{ID: h.Get("Id"), Key: h.Get("Key")}
	if d, err := time.ParseDuration(h.Get("Patience")); err == nil {
		c.ClientTimeout = d
	}
	if n, err := strconv.Atoi(h.Get("Tokens")); err == nil {
		c.Tokens = n
	}
	for i, part := range strings.Fields(h.Get("Prompt")) {
		tokens := 100
		if strings.HasPrefix(part, "large") {
			tokens = largeReadTokens
		}
		c.Prompt = append(c.Prompt, Part{ID: uint64(len(part)*1000 + i), Tokens: tokens})
	}
	return c
}

func (testDialect) IsPlatformHeader(name string) bool { return name == "Id" }

func (testDialect) StripRouterHeaders(h http.Header) {
	for _, name := range []string{"Key", "Organisation", "Replica", "Left", "Source"} {
		h.Del(name)
	}
}

func (testDialect) SetRouterHeaders(h http.Header, s RouterHeaders) {
	h.Set("Replica", s.Replica)
	h.Set("Left", s.TimeLeft.String())
	if s.Organisation != "" {
		h.Set("Organisation", s.Organisation)
	}
	if s.Source != "" {
		h.Set("Source", s.Source)
	}
	if s.LastEventID != "" {
		h.Set("Last-Event-Id", s.LastEventID)
	}
}

func (testDialect) ReadReply(resp *http.Response) Reply {
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

// discard is a Log that discards everything.
type discard struct{}

func (discard) Event(string, ...any) {}

// receivedRequest is a request as a replica received it.
type receivedRequest struct {
	replica string
	target  string
	header  http.Header
	body    string
}

// script answers a request on a connection and reports whether to read the next one from it.
type script func(c net.Conn, r *http.Request, body string) bool

// fixtureCount counts the fixtures of this process.
var fixtureCount atomic.Int64

// fixture is a router's proxy with scripted replicas.
type fixture struct {
	grace time.Duration // of a stop
	t     *testing.T
	// id is the request id that unique inserts.
	id    string
	proxy *Proxy
	url   string
	// counters are the proxy's metrics.
	counters *metrics.Set
	group    errgroup.Group
	running  errgroup.Group // of the proxy
	stop     func()         // stops the proxy

	listeners []net.Listener

	mu       sync.Mutex
	received []receivedRequest
	early    func(c net.Conn, id string) // answers and ends a connection before the body of its request is read, if set
	servers  map[string]*scriptedServer  // by replica id
}

// scriptedServer is the listener of a replica with its open connections.
type scriptedServer struct {
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// closeListener makes a replica refuse new connections.
func (b *fixture) closeListener(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.servers[id].listener.Close() // it may have ended before
}

// crash ends a replica: its connections are reset, and new ones are refused.
func (b *fixture) crash(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	server := b.servers[id]
	_ = server.listener.Close() // it may have ended before
	for c := range server.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// newFixture returns a running proxy with one replica for each script; a nil script stands for a
// replica that refuses connections. The ids and zones of the replicas are a, b, ...
func newFixture(t *testing.T, route routing.Route, scripts ...script) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newFixtureOn(t, l, func(*Proxy) {}, route, scripts...)
}

// newFixtureOn is newFixture with a listener and with changes to the proxy before it runs.
func newFixtureOn(t *testing.T, l net.Listener, change func(*Proxy), route routing.Route, scripts ...script) *fixture {
	t.Helper()
	clock := monotonicClock
	b := &fixture{t: t, grace: time.Second, id: fmt.Sprint(os.Getpid(), "-", fixtureCount.Add(1)), counters: metrics.NewSet(), servers: make(map[string]*scriptedServer)}
	table := replicas.NewTable(clock)
	var entries []replicas.Entry
	for i, s := range scripts {
		id := string(rune('a' + i))
		entries = append(entries, replicas.Entry{ID: id, Service: "s", Address: b.replica(id, s), Zone: id, Slots: 4, Revision: 1})
	}
	table.Merge(entries)
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
	b.proxy = &Proxy{
		Zone: "a", Clock: clock, Current: current, Table: table, Directory: placing.NewDirectory(clock, placing.Origin{Name: "r0", Incarnation: 1}), Dialect: testDialect{},
		Reads: placing.NewReads(clock), BroadcastReads: func() {}, MarkLeaving: func(r *replicas.Replica, _ string) { table.MarkLeaving(r) },
		RecordRate:   func(ratelimit.Answer) {},
		CacheHolders: func(context.Context, uint64) []placing.CacheHolder { return nil }, PublishPlacements: func(placing.Event, ...placing.Placement) {},
		RetryBudget: budget.New(budget.Config{Ratio: 0.2, Window: 10 * time.Second, Extra: 100}, clock),
		Pool:        NewPool(clock), Metrics: NewMetrics(b.counters), Log: discard{}, Routers: func() int { return 1 }, Gate: overload.NewGate(clock), MaxLoadFactor: 2, BodyMemory: 1 << 20, MaxConnections: 100,
	}
	change(b.proxy)
	b.url = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	b.running.Go(func() error { return b.proxy.Run(ctx, l, func() time.Duration { return b.grace }) })
	t.Cleanup(func() {
		cancel()
		if err := b.running.Wait(); err != nil {
			t.Error(err)
		}
		for _, l := range b.listeners {
			_ = l.Close() // ends the accept loops
		}
		b.proxy.Pool.Close() // after the probes, which add connections
		if err := b.group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return b
}

// replica starts a replica that answers by the script, and returns its address.
func (b *fixture) replica(id string, s script) string {
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
	server := &scriptedServer{listener: l, conns: make(map[net.Conn]struct{})}
	b.mu.Lock()
	b.servers[id] = server
	b.mu.Unlock()
	b.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			b.mu.Lock()
			server.conns[c] = struct{}{}
			b.mu.Unlock()
			b.group.Go(func() error {
				b.serveConn(id, c, s)
				return nil
			})
		}
	})
	return address
}

// serveConn answers the requests on a connection by the script.
func (b *fixture) serveConn(id string, c net.Conn, s script) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b.mu.Lock()
		early := b.early
		b.mu.Unlock()
		if early != nil {
			early(c, r.Header.Get("Id"))
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
		b.received = append(b.received, receivedRequest{id, r.RequestURI, r.Header, string(body)})
		b.mu.Unlock()
		if !s(c, r, string(body)) {
			return
		}
	}
}

// requests returns the requests that replicas received.
func (b *fixture) requests() []receivedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]receivedRequest(nil), b.received...)
}

// respond returns a script that writes text, in which ID stands for the request's id.
func respond(text string, keepOpen bool) script {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		return err == nil && keepOpen
	}
}

// reset returns a script that writes text and then resets the connection.
func reset(text string) script {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		time.Sleep(20 * time.Millisecond) // the router must read the text before the reset
		if tcp, ok := c.(*net.TCPConn); ok && err == nil {
			_ = tcp.SetLinger(0)
		}
		return false
	}
}

// send sends a raw request and returns the answer and whether its body is complete.
func (b *fixture) send(raw string) (resp *http.Response, body string, complete bool) {
	b.t.Helper()
	c := b.dial()
	return b.sendOn(c, bufio.NewReader(c), raw)
}

// awaitIdle waits until the proxy has registered that connections are idle, which may be after
// their clients have received the answers.
func (b *fixture) awaitIdle(want int) {
	b.t.Helper()
	idle := 0
	for range 500 {
		idle = b.proxy.conns.Load().Count(http.StateIdle)
		if idle == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatalf("%d connections are idle, want %d", idle, want)
}

// dial opens a connection to the proxy that is closed at the end of the test.
func (b *fixture) dial() net.Conn {
	b.t.Helper()
	c, err := net.Dial("tcp", b.url)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	return c
}

// sendOn is send on an open connection, with br as its reader.
func (b *fixture) sendOn(c net.Conn, br *bufio.Reader, raw string) (resp *http.Response, body string, complete bool) {
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

// unique replaces the id of a raw request by one that no other test uses. A request with another
// id at a replica of the fixture then belongs to a test that used the same port before.
func (b *fixture) unique(raw string) string {
	return strings.Replace(raw, "\r\nId: 1\r\n", "\r\nId: "+b.id+"\r\n", 1)
}
