package store_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/store"
)

// manualClock is a Clock that advances only when a test says so.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// testTimeout is the client's time limit in tests, long enough never to be reached.
const testTimeout = time.Minute

// startServer runs the server for the test's duration and returns a client that
// has its address twice, so that it retries what can be retried.
func startServer(t *testing.T, server *standin.Store) *store.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Listener = listener
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	address := listener.Addr().String()
	return newClient(t, address, address)
}

// newClient returns a client of the addresses that tries the first one first.
func newClient(t *testing.T, addresses ...string) *store.Client {
	t.Helper()
	client, cleanup, err := store.New(store.Config{
		Addresses: addresses,
		Timeout:   testTimeout,
		WatchIdle: testTimeout,
		Rand:      func() float64 { return 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return client
}

// mustPut writes the key if its revision is the expected one, and returns the new
// revision.
func mustPut(t *testing.T, client *store.Client, key string, expect store.Revision, value string) store.Revision {
	t.Helper()
	swap, err := client.CompareAndSwap(t.Context(), key, expect, []byte(value), store.NoLease)
	if err != nil || !swap.Swapped() {
		t.Fatalf("CompareAndSwap(%s, %d): %+v, %v", key, expect, swap, err)
	}
	return swap.Revision()
}
