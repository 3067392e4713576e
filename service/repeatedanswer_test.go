package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/service"
)

// serveRepeating serves connections on which each answer but the first is preceded by a copy of the one
// before.
func serveRepeating(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	var group errgroup.Group
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		earlier := ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + r.URL.RawQuery
			if _, err := io.WriteString(conn, earlier+answer); err != nil {
				return
			}
			earlier = answer
		}
	}
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { serve(conn); return nil })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// TestRepeatedAnswerReachesNoOtherCaller guards against a copy of an earlier answer that is taken for
// the answer to the next call on its connection.
func TestRepeatedAnswerReachesNoOtherCaller(t *testing.T) {
	address := serveRepeating(t)
	client := newClient(t, service.Options{})
	for _, caller := range []string{"1", "2", "3"} {
		call := service.Request{Method: http.MethodGet, Path: "/profiles/7", Query: caller, Idempotent: true, OwnConnection: true}
		answer, err := client.Call(testContext(t), address, call)
		if err != nil || string(answer.Body) != caller {
			t.Errorf("caller %s gets %q, error %v", caller, answer.Body, err)
		}
	}
}
