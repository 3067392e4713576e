package httpserve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

// limitedServer is a server within limits that answers with the length of the body.
type limitedServer struct {
	address string
	limiter *Limiter
	waiting chan struct{} // hands a request of /wait to the test, and back
	mu      sync.Mutex
	refused map[Refusal]int
}

func startLimited(t *testing.T, change func(*Limiter)) *limitedServer {
	t.Helper()
	s := &limitedServer{limiter: newTestLimiter(), waiting: make(chan struct{}), refused: make(map[Refusal]int)}
	s.limiter.Count = func(reason Refusal) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused[reason]++
	}
	change(s.limiter)
	l := listen(t)
	s.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body) // the tests check the number
		if r.URL.Path == "/wait" {
			s.waiting <- struct{}{}
			select {
			case <-s.waiting:
			case <-r.Context().Done(): // the server has ended the request
				panic(http.ErrAbortHandler)
			}
		}
		_, _ = fmt.Fprint(w, r.URL.Path, n)
	})}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return UntilLimited(ctx, server, l, s.limiter) })
	t.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if open, used := s.limiter.Stats(); open != 0 || used != 0 {
			t.Errorf("%d connections and %d bytes of heads are left", open, used)
		}
	})
	return s
}

// count returns how many clients were refused for a reason.
func (s *limitedServer) count(reason Refusal) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[reason]
}

// isOpen reports whether the server has not closed a connection from which there is nothing to read.
func isOpen(t *testing.T, c net.Conn) bool {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, err := c.Read(make([]byte, 1))
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// mustWrite writes a text.
func mustWrite(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// TestRequestsInOneWrite guards against requests that are lost, mixed or counted wrong because a client sends several of them,
// and their bodies, without a pause.
func TestRequestsInOneWrite(t *testing.T) {
	s := startLimited(t, func(*Limiter) {})
	var text strings.Builder
	var want []string
	for n := range 60 {
		body := strings.Repeat("GET /x\r\n\r\n", n%7*90)
		switch n % 3 {
		case 0:
			fmt.Fprintf(&text, "GET /%d- HTTP/1.1\r\nHost: h\r\n\r\n", n)
			body = ""
		case 1:
			fmt.Fprintf(&text, "POST /%d- HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s\r\n", n, len(body), body)
		case 2:
			fmt.Fprintf(&text, "POST /%d- HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", n)
			if body != "" {
				fmt.Fprintf(&text, "%x;ext\r\n%s\r\n", len(body), body)
			}
			text.WriteString("0\r\nA: b\r\n\r\n")
		}
		want = append(want, fmt.Sprint("/", n, "-", len(body)))
	}
	c := dial(t, s.address)
	var group errgroup.Group
	group.Go(func() error {
		_, err := io.WriteString(c, text.String())
		return err
	})
	br := bufio.NewReader(c)
	var got []string
	for range want {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("after %d answers: %v", len(got), err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, string(body))
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// TestHeadTooLarge guards against heads that are parsed though they exceed the limit, and smaller ones that are refused.
func TestHeadTooLarge(t *testing.T) {
	const limit = 2000
	s := startLimited(t, func(l *Limiter) { l.MaxHeadBytes = func() int { return limit } })
	const start, end = "GET / HTTP/1.1\r\nHost: h\r\nA: ", "\r\n\r\n"
	for size, want := range map[int]int{limit: http.StatusOK, limit + 1: http.StatusRequestHeaderFieldsTooLarge, 9 * limit: http.StatusRequestHeaderFieldsTooLarge} {
		c := dial(t, s.address)
		mustWrite(t, c, start+strings.Repeat("a", size-len(start)-len(end))+end)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]any{want, want != http.StatusOK}, []any{resp.StatusCode, resp.Close}); diff != "" {
			t.Errorf("status and close of a head of %d bytes (-want +got):\n%s", size, diff)
		}
	}
	if got := s.count(RefusedSize); got != 2 {
		t.Errorf("%d refusals were counted", got)
	}
}

// TestHeadsAreEvicted guards against heads without end that keep others from being read: the one that waits longest is evicted, and a
// request that has arrived whole does not.
func TestHeadsAreEvicted(t *testing.T) {
	s := startLimited(t, func(l *Limiter) { l.HeadMemory = minHeadMemory })
	large := "GET /large HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 3000) // over a third of the memory for large ones
	var conns []net.Conn
	for range 4 {
		c := dial(t, s.address)
		mustWrite(t, c, large)
		conns = append(conns, c)
		time.Sleep(50 * time.Millisecond) // so that it is read before the next one
	}
	var open []bool
	for _, c := range conns {
		open = append(open, isOpen(t, c))
	}
	if diff := cmp.Diff([]bool{false, false, true, true}, open); diff != "" {
		t.Errorf("open connections (-want +got):\n%s", diff)
	}
	c := dial(t, s.address)
	if got := exchange(c, bufio.NewReader(c)); got != http.StatusOK {
		t.Errorf("an ordinary request beside them is answered with %d", got)
	}
	mustWrite(t, conns[3], "\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(conns[3]), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a head that was not evicted is answered with %v, %v", resp, err)
	}
}

// TestConnsAreEvicted guards against clients that shut out others by connections without a whole request.
func TestConnsAreEvicted(t *testing.T) {
	const maxConns = 4
	tests := map[string]struct {
		text   string
		served bool // whether another client is served
	}{
		"no bytes":        {"", true},
		"part of a head":  {"GET / HTTP/1.1\r\nHost: h\r\n", true},
		"no body":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n", true},
		"part of a chunk": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", true},
		"idle":            {request, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := startLimited(t, func(l *Limiter) { l.MaxConns, l.IdleReuse = maxConns, func() time.Duration { return time.Minute } })
			for range maxConns {
				mustWrite(t, dial(t, s.address), tt.text)
				time.Sleep(20 * time.Millisecond) // so that it is read before the next one
			}
			c := dial(t, s.address)
			got := exchange(c, bufio.NewReader(c))
			if diff := cmp.Diff(tt.served, got == http.StatusOK); diff != "" {
				t.Errorf("served, status %d (-want +got):\n%s", got, diff)
			}
			if open, _ := s.limiter.Stats(); open > maxConns {
				t.Errorf("%d connections are open", open)
			}
		})
	}
}

// TestRequestsInProgressAreNotEvicted guards against requests that are ended for others after they have arrived whole.
func TestRequestsInProgressAreNotEvicted(t *testing.T) {
	s := startLimited(t, func(l *Limiter) { l.MaxConns = 1 })
	c := dial(t, s.address)
	mustWrite(t, c, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345G") // and the start of another request
	<-s.waiting
	s.limiter.mu.Lock()
	s.limiter.used += s.limiter.HeadMemory + minHeadMemory // so that none is left
	s.limiter.mu.Unlock()
	time.Sleep(50 * time.Millisecond) // so that the start of the other request is read
	other := dial(t, s.address)
	if got := exchange(other, bufio.NewReader(other)); got != 0 {
		t.Errorf("another client's request is answered with %d", got)
	}
	s.limiter.mu.Lock()
	s.limiter.used -= s.limiter.HeadMemory + minHeadMemory
	s.limiter.mu.Unlock()
	s.waiting <- struct{}{}
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request is answered with %v, %v", resp, err)
	}
	if diff := cmp.Diff([]int{1, 0}, []int{s.count(RefusedConnections), s.count(Evicted)}); diff != "" {
		t.Errorf("refused and evicted connections (-want +got):\n%s", diff)
	}
}

// TestEvictedRequestIsNotServed guards against requests that run though their connection was evicted after their heads had
// been read, so that nobody gets the answer.
func TestEvictedRequestIsNotServed(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	l := newTestLimiter()
	r, ok := l.Accept(server)
	if !ok {
		t.Fatal("the connection was not accepted")
	}
	r.Attach(server)
	var group errgroup.Group
	group.Go(func() error {
		_, err := io.WriteString(client, request)
		return err
	})
	if n, err := r.Read(make([]byte, 1000)); n != len(request) || err != nil {
		t.Fatalf("%d bytes were read, %v", n, err)
	}
	l.MaxConns = 1
	if _, ok := l.Accept(nil); ok { // nothing is released until the server closes the connection
		t.Error("a connection beyond the limit was accepted")
	}
	if r.BeginRequest(0) {
		t.Error("the request of an evicted connection is served")
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	r.Release()
	if open, used := l.Stats(); open != 0 || used != 0 {
		t.Errorf("%d connections and %d bytes of heads are left", open, used)
	}
}
