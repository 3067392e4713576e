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
)

const (
	// smallBound is the memory for answers of the smallest router, which has 136 MB.
	smallBound = 17 << 20
	// heapMost is half of the memory of that router.
	heapMost = 68 << 20
	// longAnswer is the size of a long answer.
	longAnswer = 12_600_000
	// unreadMost is how long a replica lets an answer be unread.
	unreadMost = 2 * time.Second
	// kernelRoom is the size that tests set for buffers of sockets.
	kernelRoom = 16 << 10
	// paceEvery is the time between two reads of a client that reads slowly.
	paceEvery = 20 * time.Millisecond
)

// cutLog is a Log that keeps the lines of cut answers.
type cutLog struct {
	mu   sync.Mutex
	cuts []map[string]any
}

// Event implements Log.
func (l *cutLog) Event(kind string, fields ...any) {
	if kind != "cut" {
		return
	}
	line := make(map[string]any)
	for i := 0; i+1 < len(fields); i += 2 {
		line[fmt.Sprint(fields[i])] = fields[i+1]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts = append(l.cuts, line)
}

// all returns the lines so far.
func (l *cutLog) all() []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]map[string]any(nil), l.cuts...)
}

// bufferSize sets an option for the size of a socket's buffer.
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

// slowBed is a front with a memory for answers, before one replica that many requests may
// run at. The kernel takes at most send bytes of an answer; 0 leaves that to it.
func slowBed(t *testing.T, route routing.Route, bound int64, send int, s script) (*bed, *cutLog) {
	t.Helper()
	cfg := net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: func(network, address string, c syscall.RawConn) error {
		if send > 0 {
			if err := bufferSize(unix.SO_SNDBUF, send)(network, address, c); err != nil {
				return err
			}
		}
		return ControlSocket(network, address, c)
	}}
	l, err := cfg.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := &cutLog{}
	b := newBedOn(t, l, func(f *Front) {
		f.AnswerMemory, f.Connections, f.Log = bound, 1000, log
		r, _ := f.Table.Find(replicas.HashOf("a", 0))
		f.Table.Offer([]replicas.Entry{{ID: "a", Service: "s", Address: r.Address(), Zone: "a", Slots: 1000, Revision: 2}})
	}, route, s)
	return b, log
}

// want is a request for an answer of a size in bytes and a framing.
type want struct {
	id, framing string
	size        int
	old         bool // whether the client speaks HTTP/1.0
	patience    time.Duration
}

// slowClient opens a connection that takes few bytes unread, and sends a request.
func (b *bed) slowClient(w want) net.Conn {
	b.t.Helper()
	version := "1.1"
	if w.old {
		version = "1.0"
	}
	if w.patience == 0 {
		w.patience = 20 * time.Second
	}
	d := net.Dialer{Control: bufferSize(unix.SO_RCVBUF, kernelRoom)}
	c, err := d.Dial("tcp4", b.url)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	raw := fmt.Sprintf("POST /p/x HTTP/%s\r\nHost: h.example\r\nId: %s\r\nKey: k\r\nPatience: %v\r\nSize: %d\r\nFraming: %s\r\nContent-Length: 0\r\n\r\n",
		version, w.id, w.patience, w.size, w.framing)
	if _, err := io.WriteString(c, raw); err != nil {
		b.t.Fatal(err)
	}
	return c
}

var (
	filler      = []byte(strings.Repeat("data: 0123456789\n\n", 1820)) // 32,760 bytes of events
	fillerChunk = []byte(chunk(string(filler)))
)

// bulk is a route of answers that are no streams.
var bulk = routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 1, Timeout: time.Minute, Objective: time.Minute}

// sized is a replica that answers with as many bytes as the request says, in its framing.
// It cuts an answer off that is unread for unreadMost.
func sized(c net.Conn, r *http.Request, _ string) bool {
	var size int
	_, _ = fmt.Sscan(r.Header.Get("Size"), &size) // of this test
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n", r.Header.Get("Id"))
	chunked := r.Header.Get("Framing") == "chunked"
	if chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	}
	write := func(text []byte) bool {
		_ = c.SetWriteDeadline(time.Now().Add(unreadMost)) // fails only if it is closed
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

// readAll reads an answer, at most pace bytes in paceEvery; 0 sets no pace. It reports the
// size of the body and whether it came whole.
func readAll(c net.Conn, pace int) (size int, whole bool) {
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err != nil {
		return 0, false
	}
	buf := make([]byte, 4096)
	for piece := 0; ; {
		n, err := resp.Body.Read(buf)
		size += n
		piece += n
		if err != nil {
			return size, err == io.EOF
		}
		if pace > 0 && piece >= pace {
			time.Sleep(paceEvery)
			piece = 0
		}
	}
}

// held returns the number of slow clients and the bytes held for them.
func (b *bed) held() (slow int, bytes int64) {
	m := b.front.answers.Load()
	if m == nil {
		return 0, 0
	}
	return m.state()
}

// clients returns the number of connections of clients.
func (b *bed) clients() int {
	m := b.front.answers.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.open)
}

// awaitNothingHeld waits until no client is slow.
func (b *bed) awaitNothingHeld() {
	b.t.Helper()
	await(b.t, "memory freed", func() bool {
		slow, held := b.held()
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

// peak returns the greatest growth of the heap while run runs, and the most that is held
// for clients.
func (b *bed) peak(run func()) (heap uint64, held int64) {
	defer debug.SetGCPercent(debug.SetGCPercent(50)) // as in cmd/peridotusher
	runtime.GC()
	runtime.GC() // the first one leaves what sync.Pool keeps
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			runtime.ReadMemStats(&now)
			heap = max(heap, now.HeapAlloc)
			_, bytes := b.held()
			held = max(held, bytes)
			time.Sleep(10 * time.Millisecond)
		}
		return nil
	})
	run()
	cancel()
	_ = group.Wait() // it returns no error
	return heap - min(heap, before.HeapAlloc), held
}
