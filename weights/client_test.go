package weights_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/weights"
)

func TestReserveAtALimitedRate(t *testing.T) {
	var seconds atomic.Int64
	clock := peridotusher.ClockFunc(func() time.Time { return time.Unix(seconds.Load(), 0) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &standin.Weights{Listener: listener, Clock: clock, PerSecond: 0.1, Burst: 2}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return server.Run(ctx) })
	client, cleanup := weights.New("http://"+listener.Addr().String(), time.Minute)
	defer cleanup()

	reserve := func(want string) {
		t.Helper()
		ticket, err := client.Reserve(ctx, "size/r", "7")
		if err != nil {
			t.Fatal(err)
		}
		got := ticket.ID() + " " + ticket.Model() + " " + ticket.Version()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("ticket (-want +got):\n%s", diff)
		}
	}
	reserve("w-1 size/r 7")
	reserve("w-2 size/r 7")
	_, err = client.Reserve(ctx, "size/r", "7")
	var limited *weights.RateLimitedError
	if !errors.As(err, &limited) || limited.RetryAfter() != 10*time.Second {
		t.Fatalf("third reservation: %v, want a retry after 10s", err)
	}
	seconds.Add(10)
	reserve("w-3 size/r 7")
	if diff := cmp.Diff(standin.WeightsCalls{Granted: 3, Refused: 1}, server.Calls()); diff != "" {
		t.Errorf("Calls (-want +got):\n%s", diff)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
