package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestUntilContextEnds(t *testing.T) {
	l := listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return Until(ctx, server, l, server.Close) })
	resp, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Error(err)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Errorf("error %v after the end of the context, want none", err)
	}
}

// TestUntilCallsStopWhenServingFails serves on a closed listener, so that serving
// fails before the context ends.
func TestUntilCallsStopWhenServingFails(t *testing.T) {
	l := listen(t)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	stopped := false
	server := &http.Server{}
	err := Until(context.Background(), server, l, func() error {
		stopped = true
		return server.Close()
	})
	if !errors.Is(err, net.ErrClosed) || !stopped {
		t.Errorf("error = %v, stopped = %v", err, stopped)
	}
}
