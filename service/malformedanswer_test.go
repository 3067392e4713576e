package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/service"
)

// serveReset answers calls, before it has read their bodies, and resets their connections if reset is set.
func serveReset(t *testing.T, answer string, reset bool) string {
	t.Helper()
	listener := listen(t)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, answer) // the caller detects a lost answer
			}
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait() // it returns no error
	})
	return listener.Addr().String()
}

// TestMalformedHeadIsNoAnswer guards against bytes that are taken for an answer though they are none. The call may have run.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 +20 No\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 600 No\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", "HTTP/1.1 103 Early\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
	} {
		address := serveReset(t, head+"ok", false)
		for _, idempotent := range []bool{false, true} {
			call := save()
			call.Idempotent = idempotent
			_, err := newClient(t, service.Options{}).Call(testContext(t), address, call)
			if err == nil || peridotusher.AsFailure(err).Verdict() != peridotusher.MayHaveRun {
				t.Errorf("%q, idempotent %v: %v, want a failure that may have run", head, idempotent, err)
			}
		}
	}
}
