package entry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/service"
	"peridotusher.example/peridotusher/standin"
)

// startReplicas starts two replicas of a service, in zones a and b, and returns a
// handler in zone a, the replicas and a call to the service.
func startReplicas(t *testing.T) (*serviceHandler, []*standin.Service, caller.ServiceCall) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	var replicas []*standin.Service
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &standin.Service{Listener: l}
		replicas = append(replicas, s)
		group.Go(func() error { return s.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	doc := parseReplicas(t, replicas[0].Listener.Addr().String()+"@a, "+replicas[1].Listener.Addr().String()+"@b")
	plain, closePlain, err := service.New(service.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closePlain)
	profiles, _ := doc.Service("profiles")
	host := &Host{Zone: "a", Clock: peridotusher.ClockFunc(time.Now), serviceClient: plain}
	call := caller.ServiceCall{Document: doc, Service: profiles, Method: http.MethodGet, Path: "/profiles/1"}
	return &serviceHandler{host: host}, replicas, call
}

// runCounts returns how often each replica ran the call.
func runCounts(replicas []*standin.Service, call caller.ServiceCall) []int {
	var n []int
	for _, r := range replicas {
		n = append(n, r.Stats().Paths[call.Path])
	}
	return n
}

func TestSlowIdempotentCallIsHedged(t *testing.T) {
	s, replicas, call := startReplicas(t)
	replicas[0].SetSilent(true)
	for range 100 {
		s.host.retries.latencies.of("profiles").Add(time.Millisecond)
	}
	answer, err := s.Call(testCtx(t), call)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(replicas[1].Listener.Addr().String(), answer.Endpoint); diff != "" {
		t.Errorf("endpoint (-want +got):\n%s", diff)
	}
}

// TestRetriesStayWithinBudget makes one replica run every call but drop the connection
// before the answer.
func TestRetriesStayWithinBudget(t *testing.T) {
	s, replicas, call := startReplicas(t)
	const calls = 200
	replicas[0].FailDuring(calls)
	for range calls {
		// Calls beyond the budget fail.
		_, _ = s.Call(testCtx(t), call)
	}
	const share, reserve = 0.1, 10
	n := runCounts(replicas, call)
	if n[0] != calls || n[1] == 0 || n[1] > int(share*calls)+reserve {
		t.Errorf("replicas ran %v calls, want %d and at most %d", n, calls, int(share*calls)+reserve)
	}
}

func TestNonIdempotentCallIsNotRetried(t *testing.T) {
	s, replicas, call := startReplicas(t)
	call.Method = http.MethodPut
	replicas[0].FailDuring(1)
	_, err := s.callNonIdempotent(testCtx(t), call, serviceRequest(call, false))
	if err == nil || peridotusher.AsFailure(err).Verdict() != peridotusher.MayHaveRun {
		t.Errorf("error %v, want the verdict may-have-run", err)
	}
	if diff := cmp.Diff([]int{1, 0}, runCounts(replicas, call)); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}
