package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/service"
	"peridotusher.example/peridotusher/standin"
)

// waitLimit bounds every wait for a condition.
const waitLimit = 20 * time.Second

// start runs a stand-in service and returns its address.
func start(t *testing.T, s *standin.Service) string {
	t.Helper()
	s.Listener = listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return s.Listener.Addr().String()
}

// listen returns a listener on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// newClient returns a client that is closed at the end of the test.
func newClient(t *testing.T, opts service.Options) *service.Client {
	t.Helper()
	client, closeClient, err := service.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeClient)
	return client
}

// testContext returns a context that ends a hanging test.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	return ctx
}

// save returns a call that must not be repeated.
func save() service.Request {
	return service.Request{
		Method: http.MethodPost,
		Path:   "/profiles/7",
		Body:   []byte("waist 70"),
		Key:    "k1",
	}
}

func TestCallVerdict(t *testing.T) {
	refusal := errors.New("claim expired")
	tests := []struct {
		name    string
		set     func(*standin.Service)
		check   error
		verdict string // empty for success
		body    string
		runs    int
	}{
		{name: "answered", body: "waist 70", runs: 1},
		{name: "check fails", check: refusal, verdict: "not-run"},
		{name: "refused", set: func(s *standin.Service) { s.RefuseNew(true) }, verdict: "not-run"},
		{name: "closed before running", set: func(s *standin.Service) { s.FailBefore(1) }, verdict: "may-have-run"},
		{name: "closed before the answer", set: func(s *standin.Service) { s.FailDuring(1) }, verdict: "may-have-run", runs: 1},
		{name: "no answer", set: func(s *standin.Service) { s.SetSilent(true) }, verdict: "may-have-run", runs: 1},
		{name: "closed in the body", set: func(s *standin.Service) { s.FailAfter(1) }, verdict: "ran", body: "waist 70", runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &standin.Service{}
			address := start(t, s)
			if tt.set != nil {
				tt.set(s)
			}
			checks := 0
			request := save()
			request.Check = func() error {
				checks++
				return tt.check
			}
			client := newClient(t, service.Options{HeaderTimeout: time.Second})
			response, err := client.Call(testContext(t), address, request)
			verdict := ""
			if err != nil {
				verdict = peridotusher.AsFailure(err).Verdict().String()
			}
			if diff := cmp.Diff(tt.verdict, verdict); diff != "" {
				t.Errorf("verdict of %v (-want +got):\n%s", err, diff)
			}
			if tt.check != nil && !errors.Is(err, tt.check) {
				t.Errorf("error %v, want %v in its chain", err, tt.check)
			}
			if diff := cmp.Diff(tt.body, string(response.Body)); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			if got := s.Stats().Keys["k1"]; got != tt.runs {
				t.Errorf("service ran the call %d times, want %d", got, tt.runs)
			}
			if checks != 1 {
				t.Errorf("check ran %d times, want once", checks)
			}
		})
	}
}

func TestDialRefusedIsNotRun(t *testing.T) {
	listener := listen(t)
	listener.Close()
	client := newClient(t, service.Options{})
	for _, idempotent := range []bool{false, true} {
		request := save()
		request.Idempotent = idempotent
		_, err := client.Call(testContext(t), listener.Addr().String(), request)
		if err == nil || peridotusher.AsFailure(err).Verdict() != peridotusher.NotRun {
			t.Errorf("idempotent=%v: error %v, want the verdict not-run", idempotent, err)
		}
	}
}

func TestAnswerLimit(t *testing.T) {
	address := start(t, &standin.Service{})
	client := newClient(t, service.Options{AnswerLimit: 4})
	_, err := client.Call(testContext(t), address, save())
	if err == nil || peridotusher.AsFailure(err).Verdict() != peridotusher.Ran {
		t.Errorf("error %v, want the verdict ran", err)
	}
}

func TestStaleFenceIsRefused(t *testing.T) {
	s := &standin.Service{ChecksFence: true}
	address := start(t, s)
	client := newClient(t, service.Options{})
	var statuses []int
	for _, fence := range []uint64{5, 4, 6} {
		request := save()
		request.Fence = fence
		response, err := client.Call(testContext(t), address, request)
		if err != nil {
			t.Fatal(err)
		}
		statuses = append(statuses, response.Status)
	}
	want := []int{http.StatusOK, http.StatusPreconditionFailed, http.StatusOK}
	if diff := cmp.Diff(want, statuses); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}

// serveOncePerConn starts a server that answers only the first request of each
// connection and only if it is not a save. It reads any other request and closes the
// connection. The returned counter counts the saves that it read.
func serveOncePerConn(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	listener := listen(t)
	var saves atomic.Int64
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for answered := 0; ; answered++ {
					request, err := http.ReadRequest(r)
					if err != nil {
						return nil
					}
					io.Copy(io.Discard, request.Body)
					if request.Method == http.MethodPost {
						saves.Add(1)
					}
					if answered > 0 || request.Method == http.MethodPost {
						return nil
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		group.Wait()
	})
	return listener.Addr().String(), &saves
}

func TestNonIdempotentCallIsNotReplayed(t *testing.T) {
	for _, body := range []string{"", "waist 70"} {
		t.Run("body "+body, func(t *testing.T) {
			address, saves := serveOncePerConn(t)
			client := newClient(t, service.Options{})
			fetch := service.Request{Method: http.MethodGet, Path: "/profiles/7", Idempotent: true}
			if _, err := client.Call(testContext(t), address, fetch); err != nil {
				t.Fatal(err)
			}
			request := save()
			request.Body = []byte(body)
			_, err := client.Call(testContext(t), address, request)
			if err == nil || peridotusher.AsFailure(err).Verdict() != peridotusher.MayHaveRun {
				t.Errorf("error %v, want the verdict may-have-run", err)
			}
			if got := saves.Load(); got != 1 {
				t.Errorf("service received the call %d times, want once", got)
			}
		})
	}
}

func TestReplicasShareDocuments(t *testing.T) {
	first := &standin.Service{}
	second := &standin.Service{Shared: first}
	firstAddress, secondAddress := start(t, first), start(t, second)
	client := newClient(t, service.Options{})
	if _, err := client.Call(testContext(t), secondAddress, save()); err != nil {
		t.Fatal(err)
	}
	fetch := service.Request{Method: http.MethodGet, Path: "/profiles/7", Idempotent: true}
	for _, address := range []string{firstAddress, secondAddress} {
		response, err := client.Call(testContext(t), address, fetch)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("waist 70", string(response.Body)); diff != "" {
			t.Errorf("document (-want +got):\n%s", diff)
		}
	}
	if first.Stats().Keys["k1"] != 0 || second.Stats().Keys["k1"] != 1 {
		t.Errorf("runs %v and %v, want the save counted at the second replica only", first.Stats().Keys, second.Stats().Keys)
	}
}
