package service_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/service"
)

// TestHeadsThatBreakOffAreNoAnswers guards against an answer with an empty body that looks whole, because an
// endpoint closed the connection in the middle of the answer's head.
func TestHeadsThatBreakOffAreNoAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Verdict: ran\r\nContent-Length: 12\r\n\r\n"
	for n := range len(head) + 1 {
		listener := listen(t)
		var group errgroup.Group
		group.Go(func() error {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, head[:n]) // the caller detects a lost answer
			}
			return nil
		})
		r := service.Request{Method: http.MethodGet, Path: "/profiles/7", Idempotent: true, OwnConnection: true}
		if answer, err := newClient(t, service.Options{}).Call(testContext(t), listener.Addr().String(), r); err == nil {
			t.Errorf("%d bytes of the head: status %d, body %q", n, answer.Status, answer.Body)
		}
		listener.Close()
		group.Wait()
	}
}
