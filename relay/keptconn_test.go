package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// keptAnswer is how a request on a kept connection was answered.
type keptAnswer struct {
	Status int  // 0 without a complete answer
	Close  bool // whether the answer announces the end of the connection
}

// exchangeOn sends a raw request on a connection and reads the answer.
func (b *fixture) exchangeOn(c net.Conn, br *bufio.Reader, raw string) keptAnswer {
	b.t.Helper()
	resp, _, complete := b.sendOn(c, br, raw)
	if resp == nil || !complete {
		return keptAnswer{}
	}
	return keptAnswer{resp.StatusCode, resp.Close}
}

// TestStopDoesNotCloseConnUnderNextRequest guards against requests that cross the end of a connection whose answer began before the stop.
func TestStopDoesNotCloseConnUnderNextRequest(t *testing.T) {
	tests := map[string]struct {
		rest  int           // events of the answer that are sent after the stop has begun
		read  time.Duration // from then until the client reads them
		pause time.Duration // between that answer and the next request
	}{
		"next request at once":       {rest: 1},
		"next request after a pause": {rest: 1, pause: 300 * time.Millisecond},
		"answer is read late":        {rest: 50_000, read: 100 * time.Millisecond}, // fits into the socket buffers
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			b, _ := newSlowFixture(t, longStream, smallBound, 0, func(c net.Conn, r *http.Request, _ string) bool {
				event := "data: 1\n\n"
				rest := strings.Repeat(event, tt.rest)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
					r.Header.Get("Id"), len(event)+len(rest), event) // the client shows an error
				<-proceed
				_, err := io.WriteString(c, rest)
				return err == nil
			})
			b.proxy.KeepAliveTimeout = 2 * time.Second
			c := b.slowClient(slowRequest{id: "1"})
			br := bufio.NewReader(c)
			first, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			b.proxy.Stop(StopPolicy{AcceptAllUntil: b.proxy.Clock.Now().Add(time.Minute)})
			close(proceed)
			time.Sleep(tt.read)
			if _, err := io.Copy(io.Discard, first.Body); err != nil || first.Close {
				t.Errorf("the answer in flight: %v, announces the end: %v", err, first.Close)
			}
			time.Sleep(tt.pause)
			next := b.exchangeOn(c, br, get(""))
			if diff := cmp.Diff([]any{keptAnswer{http.StatusOK, true}, 2}, []any{next, len(b.requests())}); diff != "" {
				t.Errorf("next answer, requests at the replica (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRequestsOnOpenConnsAreAnsweredAfterListenerCloses guards against requests that a stop reads and drops.
func TestRequestsOnOpenConnsAreAnsweredAfterListenerCloses(t *testing.T) {
	before, after, _ := strings.Cut(get(""), "Key:")
	const keepAlive = time.Second
	const late = keepAlive + keepAliveMargin // as long as a connection stays without a request
	tests := map[string]struct {
		before, after string        // parts of the request sent before and after the listener is closed
		kept          bool          // whether a request was answered on the connection before
		pause         time.Duration // before the second part
	}{
		"new connection":                  {after: get("")},
		"part of the head":                {before: before, after: "Key:" + after},
		"part of the head, the rest late": {before: before, after: "Key:" + after, pause: late},
		"kept connection":                 {after: get(""), kept: true},
		"kept connection, packet lost":    {after: get(""), kept: true, pause: keepAlive + keepAliveMargin/2},
		"part of the head when kept":      {before: before, after: "Key:" + after, kept: true},
		"the same, the rest comes late":   {before: before, after: "Key:" + after, kept: true, pause: late},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t, idempotent, respond(okAnswer, true))
			b.grace = 5 * time.Second
			b.proxy.KeepAliveTimeout = keepAlive
			c := b.dial()
			br := bufio.NewReader(c)
			if tt.kept {
				if got := b.exchangeOn(c, br, get("")); got.Status != http.StatusOK {
					t.Fatalf("the first answer is %v", got)
				}
			}
			if _, err := io.WriteString(c, tt.before); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // so that the connection is accepted and the part read
			b.proxy.Stop(StopPolicy{AcceptAllUntil: b.proxy.Clock.Now().Add(time.Minute)})
			b.stop()
			await(t, "the listener is closed", func() bool {
				extra, err := net.Dial("tcp", b.url)
				if err == nil {
					_ = extra.Close()
				}
				return err != nil
			})
			time.Sleep(tt.pause)
			if diff := cmp.Diff(keptAnswer{http.StatusOK, true}, b.exchangeOn(c, br, tt.after)); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStopIsNotHeldByStrayBytes guards against stops that wait for a request which a client does not send.
func TestStopIsNotHeldByStrayBytes(t *testing.T) {
	b := newFixture(t, idempotent, respond(okAnswer, true))
	b.grace = 10 * time.Second
	c := b.dial()
	if got := b.exchangeOn(c, bufio.NewReader(c), get("")); got.Status != http.StatusOK {
		t.Fatalf("the answer is %v", got)
	}
	if _, err := io.WriteString(c, "\r\n"); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	b.stop()
	if err := b.running.Wait(); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > b.grace/2 {
		t.Errorf("the stop took %v", took)
	}
}

// TestClosedClientConnIsNotRead guards against requests that are passed on although their connection is closed and lingers for its client.
func TestClosedClientConnIsNotRead(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	c := newClientConn(server, nil, func() {})
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 10)); n != 0 || err != net.ErrClosed {
		t.Errorf("%d bytes were read, %v", n, err)
	}
}
