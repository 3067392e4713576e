package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/service"
)

// serveUndelimited answers one call with neither length nor chunks. If ends is set, the endpoint comes to
// refuse new connections, exitTime after it closes that of the call, or before if that is 0.
func serveUndelimited(t *testing.T, ends bool, exitTime time.Duration) string {
	t.Helper()
	listener := listen(t)
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return nil
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return nil
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwaist") // the caller detects a lost answer
		if ends && exitTime > 0 {
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(exitTime)
		}
		if ends {
			_ = listener.Close()
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		return nil
	})
	t.Cleanup(func() {
		listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// TestAnswerThatEndsWithItsEndpointIsBrokenOff guards against a part of an answer that looks complete,
// because the connections of a crashed endpoint are closed in order, its listening socket before or behind
// them.
func TestAnswerThatEndsWithItsEndpointIsBrokenOff(t *testing.T) {
	for _, tt := range []struct {
		ends     bool
		exitTime time.Duration
	}{{false, 0}, {true, 0}, {true, 40 * time.Millisecond}} {
		ends := tt.ends
		fetch := service.Request{Method: http.MethodGet, Path: "/profiles/7", Idempotent: true, OwnConnection: true}
		answer, err := newClient(t, service.Options{}).Call(testContext(t), serveUndelimited(t, ends, tt.exitTime), fetch)
		got, want := "", ""
		if err != nil {
			got = peridotusher.AsFailure(err).Verdict().String()
		}
		if ends {
			want = peridotusher.Ran.String()
		}
		if diff := cmp.Diff(want, got); diff != "" || string(answer.Body) != "waist" {
			t.Errorf("endpoint ends %+v: body %q, verdict (-want +got):\n%s", tt, answer.Body, diff)
		}
	}
}

// TestAnswerOfDepartedEndpointIsComplete guards against complete answers that are taken for broken off
// because their endpoint was taken out of use and has exited behind them.
func TestAnswerOfDepartedEndpointIsComplete(t *testing.T) {
	for _, departed := range []bool{false, true} {
		fetch := service.Request{Method: http.MethodGet, Path: "/profiles/7", Idempotent: true, OwnConnection: true}
		fetch.Departed = func() bool { return departed }
		answer, err := newClient(t, service.Options{}).Call(testContext(t), serveUndelimited(t, true, 0), fetch)
		if diff := cmp.Diff(departed, err == nil); diff != "" || string(answer.Body) != "waist" {
			t.Errorf("departed %v: body %q, complete (-want +got):\n%s%v", departed, answer.Body, diff, err)
		}
	}
}
