package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
	"peridotusher.example/peridotusher/tcp"
)

const (
	// smallBound is the AnswerMemory of the smallest router, which has 136 MB of memory.
	smallBound = 17 << 20
	// maxHeap is half of that router's memory.
	maxHeap = 68 << 20
	// longAnswer is the size of a long answer.
	longAnswer = 12_600_000
	// unreadTimeout is how long a replica waits with an unread answer before it aborts the
	// answer.
	unreadTimeout = 2 * time.Second
	// socketBufferSize is the size of socket buffers that tests set, in bytes.
	socketBufferSize = 16 << 10
	// slowReadInterval is the interval between two reads of a slow client.
	slowReadInterval = 20 * time.Millisecond
)

// abortLog is a Log that keeps the "cut" lines, which report aborted answers, and the reasons of
// refusals.
type abortLog struct {
	mu       sync.Mutex
	aborts   []map[string]any
	refusals map[any]int // by reason
}

// Event implements Log.
func (l *abortLog) Event(kind string, fields ...any) {
	if kind != "cut" && kind != "denied" {
		return
	}
	line := make(map[string]any)
	for i := 0; i+1 < len(fields); i += 2 {
		line[fmt.Sprint(fields[i])] = fields[i+1]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind == "cut" {
		l.aborts = append(l.aborts, line)
		return
	}
	if l.refusals == nil {
		l.refusals = make(map[any]int)
	}
	l.refusals[line["why"]]++
}

// refusedOther counts the refusals for other reasons than the given one.
func (l *abortLog) refusedOther(why string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for reason, count := range l.refusals {
		if reason != why {
			n += count
		}
	}
	return n
}

// all returns the lines recorded so far.
func (l *abortLog) all() []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]map[string]any(nil), l.aborts...)
}

// bufferSize returns a control function that sets the option for a socket's buffer size.
func bufferSize(option, n int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, n) })
		if err != nil {
			return err
		}
		return set
	}
}

// newSlowFixture returns a proxy with an answer buffer and one replica with many slots. send is
// the size of the socket send buffer for answers; 0 leaves it to the kernel.
func newSlowFixture(t *testing.T, route routing.Route, bound int64, send int, s script) (*fixture, *abortLog) {
	t.Helper()
	cfg := net.ListenConfig{KeepAliveConfig: tcp.KeepAlive(), Control: func(network, address string, c syscall.RawConn) error {
		if send > 0 {
			if err := bufferSize(unix.SO_SNDBUF, send)(network, address, c); err != nil {
				return err
			}
		}
		return tcp.Control(network, address, c)
	}}
	l, err := cfg.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := &abortLog{}
	b := newFixtureOn(t, l, func(f *Proxy) {
		f.AnswerMemory, f.MaxConnections, f.Log = bound, 1000, log
		r, _ := f.Table.Find(replicas.HashOf("a", 0))
		f.Table.Merge([]replicas.Entry{{ID: "a", Service: "s", Address: r.Address(), Zone: "a", Slots: 1000, Revision: 2}})
	}, route, s)
	return b, log
}

// slowRequest is a request for an answer of a size in bytes and a framing.
type slowRequest struct {
	id, framing string
	size        int
	http10      bool // whether the client uses HTTP/1.0
	timeout     time.Duration
}

// slowClient opens a connection with a small receive buffer and sends a request.
func (b *fixture) slowClient(w slowRequest) net.Conn {
	b.t.Helper()
	version := "1.1"
	if w.http10 {
		version = "1.0"
	}
	if w.timeout == 0 {
		w.timeout = 20 * time.Second
	}
	d := net.Dialer{Control: bufferSize(unix.SO_RCVBUF, socketBufferSize)}
	c, err := d.Dial("tcp4", b.url)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	raw := fmt.Sprintf("POST /p/x HTTP/%s\r\nHost: h.example\r\nId: %s\r\nKey: k\r\nPatience: %v\r\nSize: %d\r\nFraming: %s\r\nContent-Length: 0\r\n\r\n",
		version, w.id, w.timeout, w.size, w.framing)
	if _, err := io.WriteString(c, raw); err != nil {
		b.t.Fatal(err)
	}
	return c
}

var (
	filler      = []byte(strings.Repeat("data: 0123456789\n\n", 1820)) // 32,760 bytes of events
	fillerChunk = []byte(chunk(string(filler)))
)

// longAnswerRoute is a route of answers that are not streams.
var longAnswerRoute = routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 1, Timeout: time.Minute, Objective: time.Minute}

// sizedAnswer is a script that answers with the size and framing that the request demands. It
// aborts an answer that is unread for unreadTimeout.
func sizedAnswer(c net.Conn, r *http.Request, _ string) bool {
	var size int
	_, _ = fmt.Sscan(r.Header.Get("Size"), &size) // always set by the tests
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n", r.Header.Get("Id"))
	chunked := r.Header.Get("Framing") == "chunked"
	if chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	}
	write := func(text []byte) bool {
		_ = c.SetWriteDeadline(time.Now().Add(unreadTimeout)) // fails only if it is closed
		_, err := c.Write(text)
		return err == nil
	}
	if !write([]byte(head)) {
		return false
	}
	for size > 0 {
		part := filler[:min(size, len(filler))]
		size -= len(part)
		switch {
		case chunked && len(part) == len(filler):
			part = fillerChunk
		case chunked:
			part = []byte(chunk(string(part)))
		}
		if !write(part) {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return false
		}
	}
	return !chunked || write([]byte(chunk("")))
}

// readAll reads an answer, at most pace bytes per slowReadInterval; 0 means unlimited. It returns
// the size of the body and whether the body is complete.
func readAll(c net.Conn, pace int) (size int, complete bool) {
	_, size, complete = readAnswer(c, pace)
	return size, complete
}

// readAnswer is readAll that also returns the status, 0 without an answer.
func readAnswer(c net.Conn, pace int) (status, size int, complete bool) {
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err != nil {
		return 0, 0, false
	}
	buf := make([]byte, 4096)
	for sincePause := 0; ; {
		n, err := resp.Body.Read(buf)
		size += n
		sincePause += n
		if err != nil {
			return resp.StatusCode, size, err == io.EOF
		}
		if pace > 0 && sincePause >= pace {
			time.Sleep(slowReadInterval)
			sincePause = 0
		}
	}
}

// bufferStats returns the number of slow clients and the bytes buffered for them.
func (b *fixture) bufferStats() (slow int, bytes int64) {
	m := b.proxy.answerBuffer.Load()
	if m == nil {
		return 0, 0
	}
	return m.stats()
}

// clientConns returns the number of client connections.
func (b *fixture) clientConns() int {
	m := b.proxy.answerBuffer.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// awaitBufferEmpty waits until nothing is buffered.
func (b *fixture) awaitBufferEmpty() {
	b.t.Helper()
	await(b.t, "memory freed", func() bool {
		slow, held := b.bufferStats()
		return slow == 0 && held == 0
	})
}

// await waits until a condition holds.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within 10 s", what)
}

// measurePeak returns the largest growth of the heap while run runs, and the most bytes that were
// buffered for clients.
func (b *fixture) measurePeak(run func()) (heap uint64, held int64) {
	defer debug.SetGCPercent(debug.SetGCPercent(50)) // as in cmd/peridotusher
	runtime.GC()
	runtime.GC() // the first one does not free the contents of sync.Pool
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			runtime.ReadMemStats(&now)
			heap = max(heap, now.HeapAlloc)
			_, bytes := b.bufferStats()
			held = max(held, bytes)
			time.Sleep(10 * time.Millisecond)
		}
		return nil
	})
	run()
	cancel()
	_ = group.Wait() // its function returns no error
	return heap - min(heap, before.HeapAlloc), held
}
