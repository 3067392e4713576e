package store_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/store"
)

// checkFailure checks that the error is a Failure with the verdict that wraps target.
func checkFailure(t *testing.T, err error, verdict peridotusher.Verdict, target error) {
	t.Helper()
	var failure *peridotusher.Failure
	if !errors.As(err, &failure) || failure.Verdict() != verdict || !errors.Is(err, target) {
		t.Errorf("error %v is not a %v failure that wraps %q", err, verdict, target)
	}
}

func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	server := &standin.Store{}
	client := startServer(t, server)
	mustPut(t, client, "other", 0, "opens the connection")
	server.LoseAnswers(1)
	_, err := client.CompareAndSwap(t.Context(), "claim", 0, []byte("mine"), store.NoLease)
	checkFailure(t, err, peridotusher.MayHaveRun, store.ErrUnavailable)
	entry, err := client.Get(t.Context(), "claim")
	if err != nil || string(entry.Value()) != "mine" {
		t.Errorf("Get after the lost answer: %+v, %v", entry, err)
	}
	if swaps := server.Calls().Swap; swaps != 2 {
		t.Errorf("the server got %d swaps, want 2 and no replay", swaps)
	}
}

func TestRefusedWriteDidNotRun(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	server := &standin.Store{Clock: clock, WritesPerSecond: 1}
	client := startServer(t, server)
	mustPut(t, client, "a", 0, "takes the only token")
	_, err := client.CompareAndSwap(t.Context(), "b", 0, nil, store.NoLease)
	checkFailure(t, err, peridotusher.NotRun, store.ErrRateLimited)
	if after := peridotusher.AsFailure(err).RetryAfter(); after != time.Second {
		t.Errorf("RetryAfter is %v, want 1s", after)
	}
	clock.advance(time.Second)
	server.SetDown(true)
	_, err = client.CompareAndSwap(t.Context(), "b", 0, nil, store.NoLease)
	checkFailure(t, err, peridotusher.NotRun, store.ErrUnavailable)
	server.SetDown(false)
	clock.advance(time.Second)
	_, err = client.CompareAndSwap(t.Context(), "b", 0, make([]byte, 1<<20+1), store.NoLease)
	checkFailure(t, err, peridotusher.NotRun, store.ErrRejected)
	if entry, err := client.Get(t.Context(), "b"); err != nil || entry.Exists() {
		t.Errorf("Get after refused writes: %+v, %v", entry, err)
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestRefusedConnection(t *testing.T) {
	closed := closedAddress(t)
	_, err := newClient(t, closed).Delete(t.Context(), "a", 1)
	checkFailure(t, err, peridotusher.NotRun, store.ErrUnavailable)

	server := &standin.Store{}
	startServer(t, server)
	mustPut(t, newClient(t, closed, server.Listener.Addr().String()), "a", 0, "goes to the second address")
}

func TestVerdictOfAnswers(t *testing.T) {
	tests := []struct {
		status  int
		body    string
		verdict peridotusher.Verdict
		target  error
	}{
		{503, `{"message":"etcdserver: no leader"}`, peridotusher.NotRun, store.ErrUnavailable},
		{503, `{"message":"etcdserver: request timed out"}`, peridotusher.MayHaveRun, store.ErrUnavailable},
		{503, `upstream reset`, peridotusher.MayHaveRun, store.ErrUnavailable},
		{404, `{"message":"etcdserver: requested lease not found"}`, peridotusher.NotRun, store.ErrLeaseNotFound},
		{307, ``, peridotusher.MayHaveRun, store.ErrUnavailable},
		{200, `{"succeeded":`, peridotusher.MayHaveRun, store.ErrUnavailable},
	}
	for _, test := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			_, _ = io.WriteString(w, test.body)
		}))
		client := newClient(t, strings.TrimPrefix(server.URL, "http://"))
		_, err := client.CompareAndSwap(t.Context(), "a", 0, nil, store.NoLease)
		checkFailure(t, err, test.verdict, test.target)
		server.Close()
	}
}

func TestWriteWithoutAnswerMayHaveRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer server.Close()
	client := newClient(t, strings.TrimPrefix(server.URL, "http://"))
	_, err := client.CompareAndSwap(ctx, "a", 0, nil, store.NoLease)
	checkFailure(t, err, peridotusher.MayHaveRun, context.Canceled)
	_, err = client.CompareAndSwap(ctx, "a", 0, nil, store.NoLease)
	checkFailure(t, err, peridotusher.NotRun, context.Canceled)
}
