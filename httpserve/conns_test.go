package httpserve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/tcp"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// drainedServer is a server that stops gracefully.
type drainedServer struct {
	address   string
	conns     *Conns
	stop      func()
	result    chan error   // of the stop
	suspended atomic.Int64 // time that the server's clock is ahead, in nanoseconds
}

// startDrained starts a server whose stop keeps idle connections for idle and takes at most grace.
func startDrained(t *testing.T, idle, grace time.Duration) *drainedServer {
	t.Helper()
	l := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	s := &drainedServer{address: l.Addr().String(), stop: stop, result: make(chan error, 1)}
	s.conns = &Conns{Clock: peridotusher.ClockFunc(func() time.Time { return time.Now().Add(time.Duration(s.suspended.Load())) })}
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: TrackRequests(ok), ConnState: s.conns.Track, ConnContext: WithConn}
	var group errgroup.Group
	group.Go(func() error {
		s.result <- UntilDrained(ctx, server, &Listener{Listener: l, Closer: tcp.NewCloser(), Limiter: newTestLimiter()}, func() error {
			graceCtx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			return s.conns.Drain(graceCtx, Limits{New: idle, Idle: idle})
		})
		return nil
	})
	t.Cleanup(func() {
		stop()
		_ = group.Wait() // its function returns no error
	})
	return s
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends a request on a connection and returns the status of the answer, 0 without one.
func exchange(c net.Conn, br *bufio.Reader) int {
	_, _ = io.WriteString(c, request) // the answer shows an error
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the answers of the tests are empty
	return resp.StatusCode
}

// TestDrainKeepsIdleConns guards against connections that a stop closes before the time for which clients may use them again.
func TestDrainKeepsIdleConns(t *testing.T) {
	const idle = 400 * time.Millisecond
	s := startDrained(t, idle, 10*time.Second)
	c := dial(t, s.address)
	br := bufio.NewReader(c)
	first := exchange(c, br)
	s.stop()
	time.Sleep(idle / 2)
	second := exchange(c, br)
	answered := time.Now()
	_, end := br.ReadByte()
	if kept := time.Since(answered); kept < idle/2 || kept > 10*idle {
		t.Errorf("the connection was kept for %v", kept)
	}
	if diff := cmp.Diff([]any{200, 200, true}, []any{first, second, end == io.EOF}); diff != "" {
		t.Errorf("two answers, end of the connection (-want +got):\n%s", diff)
	}
	if err := <-s.result; err != nil {
		t.Error(err)
	}
}

// TestDrainAfterSuspensionKeepsConns guards against requests that arrived while the process did not run and whose connection is closed unread.
func TestDrainAfterSuspensionKeepsConns(t *testing.T) {
	const idle = 600 * time.Millisecond
	s := startDrained(t, idle, 10*time.Second)
	c := dial(t, s.address)
	br := bufio.NewReader(c)
	first := exchange(c, br)
	s.stop()
	time.Sleep(idle / 6)
	s.suspended.Store(int64(4 * idle / 3))
	time.Sleep(idle / 6)
	if diff := cmp.Diff([]int{200, 200}, []int{first, exchange(c, br)}); diff != "" {
		t.Errorf("answers before and after the suspension (-want +got):\n%s", diff)
	}
}

// TestDrainEnds guards against stops that go on, or report an error, because of connections without a request.
func TestDrainEnds(t *testing.T) {
	for name, sent := range map[string]string{"new": "", "idle": request, "part of a head": request[:10]} {
		t.Run(name, func(t *testing.T) {
			const grace = 300 * time.Millisecond
			s := startDrained(t, time.Minute, grace)
			c := dial(t, s.address)
			_, _ = io.WriteString(c, sent)    // the server's end shows an error
			time.Sleep(20 * time.Millisecond) // so that it is read
			began := time.Now()
			s.stop()
			if err := <-s.result; err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took > 10*grace {
				t.Errorf("the stop took %v", took)
			}
		})
	}
}

// TestRequestOfClosedConnIsNotServed guards against requests that are served although their connection was closed after they were read.
func TestRequestOfClosedConnIsNotServed(t *testing.T) {
	served := 0
	h := TrackRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	for _, closed := range []bool{false, true} {
		r, err := http.NewRequestWithContext(WithConn(context.Background(), closableConn{closed: closed}), http.MethodGet, "/", nil)
		if err != nil {
			t.Fatal(err)
		}
		func() {
			defer func() {
				if err := recover(); (err == http.ErrAbortHandler) != closed {
					t.Errorf("closed %v: %v", closed, err)
				}
			}()
			h.ServeHTTP(nil, r)
		}()
	}
	if served != 1 {
		t.Errorf("%d requests were served, want that of the open connection", served)
	}
}

// closableConn is a Conn without a peer.
type closableConn struct {
	net.Conn
	closed bool
}

func (closableConn) BeginRequest(int64) bool { return true }
func (closableConn) MarkIdle()               {}
func (closableConn) IsReceiving() bool       { return false }
func (closableConn) CloseIfIdle()            {}
func (c closableConn) IsClosed() bool        { return c.closed }
