package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

// gatedServices answer a call when the gate is closed.
type gatedServices struct{ started, gate chan struct{} }

// Call implements Services.
func (s gatedServices) Call(context.Context, ServiceCall) (ServiceAnswer, error) {
	s.started <- struct{}{}
	<-s.gate
	return ServiceAnswer{Status: http.StatusOK, Body: []byte("ok")}, nil
}

// TestStopAnswersRequestsOnOpenConns guards against requests that a stop drops on connections which are open when the listener closes.
func TestStopAnswersRequestsOnOpenConns(t *testing.T) {
	call := post("/services/profiles/profiles/7", "kalimera-shop-athina-example-key", "X-Deadline-Ms: 1000\r\n", "{}")
	call = strings.Replace(call, "Connection: close\r\n", "", 1)
	tests := map[string]struct {
		kept       bool          // whether a call is in flight on the connection when the stop begins
		sentBefore int           // bytes of the next call that are sent before the listener closes
		pause      time.Duration // between the answer to the first call and the rest of the next one
	}{
		"next call at once":          {kept: true},
		"next call after a pause":    {kept: true, pause: 100 * time.Millisecond},
		"new connection":             {},
		"part of a head is sent":     {sentBefore: 20},
		"the rest of a head is late": {sentBefore: 20, pause: 3 * idleReuseTime / 2},
		"all but the last byte sent": {sentBefore: len(call) - 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			services := gatedServices{make(chan struct{}, 2), make(chan struct{})}
			s, address := newServer(t, nil, services)
			s.Drain, s.Limits.HeaderTimeout, s.Limits.BodyTimeout = 5*time.Second, 3*time.Second, time.Second
			c, stop, wait := runAndDial(t, s, address)
			br := bufio.NewReader(c)
			if tt.kept {
				_, _ = io.WriteString(c, call) // the answer shows an error
				<-services.started
			}
			_, _ = io.WriteString(c, call[:tt.sentBefore])
			time.Sleep(50 * time.Millisecond) // so that the connection is accepted and the part read
			stop()
			awaitClosed(t, address)
			close(services.gate)
			if tt.kept {
				if status := readStatus(br); status != http.StatusOK {
					t.Fatalf("the call in flight is answered with status %d", status)
				}
			}
			time.Sleep(tt.pause)
			_, _ = io.WriteString(c, call[tt.sentBefore:]) // the answer shows an error
			if diff := cmp.Diff(http.StatusOK, readStatus(br)); diff != "" {
				t.Errorf("status, 0 without an answer (-want +got):\n%s", diff)
			}
			if err := wait(); err != nil {
				t.Errorf("the stop cut requests: %v", err)
			}
		})
	}
}

// runAndDial runs a server and opens a connection to it. stop begins the server's stop and wait waits for its end.
func runAndDial(t *testing.T, s *Server, address string) (c net.Conn, stop func(), wait func() error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	var server errgroup.Group
	server.Go(func() error { return s.Run(ctx) })
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, stop, server.Wait
}

// readStatus reads an answer and returns its status, 0 if it is not complete.
func readStatus(br *bufio.Reader) int {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// awaitClosed waits until an address refuses connections.
func awaitClosed(t *testing.T, address string) {
	t.Helper()
	for range 500 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = c.Close() // nothing was sent on it
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the listener is open")
}

// TestStopIsNotHeldByChecks guards against a stop that waits for a balancer which checks readiness on a kept connection.
func TestStopIsNotHeldByChecks(t *testing.T) {
	for _, path := range []string{"/readyz", "/healthz", "/unknown"} {
		s, address := newServer(t, nil, nil)
		s.Drain = 10 * time.Second
		c, stop, wait := runAndDial(t, s, address)
		br := bufio.NewReader(c)
		check := "GET " + path + " HTTP/1.1\r\nHost: router\r\n\r\n"
		_, _ = io.WriteString(c, check) // the answer shows an error
		if readStatus(br) == 0 {
			t.Fatal("no answer to the first check")
		}
		stop()
		awaitClosed(t, address)
		_, _ = io.WriteString(c, check) // the answer shows an error
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if !resp.Close {
			t.Errorf("the answer of %s does not announce the end of the connection", path)
		}
		if err := wait(); err != nil {
			t.Error(err)
		}
	}
}
