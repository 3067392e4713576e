package store_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/store"
)

var errEnoughEvents = errors.New("enough events")

// readEvents watches the prefix from a revision and returns n events as text.
func readEvents(t *testing.T, client *store.Client, from store.Revision, n int) []string {
	t.Helper()
	var got []string
	err := client.Watch(t.Context(), "k/", from, func(e store.Event) error {
		text := e.Entry().Key() + "=" + string(e.Entry().Value())
		if e.Deleted() {
			text = e.Entry().Key() + " deleted"
		}
		got = append(got, text)
		if len(got) == n {
			return errEnoughEvents
		}
		return nil
	})
	if !errors.Is(err, errEnoughEvents) {
		t.Fatalf("Watch: %v after %q", err, got)
	}
	return got
}

func TestWatchContinuesAfterAnOutage(t *testing.T) {
	server := &standin.Store{}
	client := startServer(t, server)
	first := mustPut(t, client, "k/a", 0, "1")
	var seen store.Revision
	err := client.Watch(t.Context(), "k/", first, func(e store.Event) error {
		seen = e.Revision()
		server.SetDown(true)
		return nil
	})
	checkFailure(t, err, peridotusher.NotRun, store.ErrWatchEnded)
	err = client.Watch(t.Context(), "k/", seen+1, func(store.Event) error { return nil })
	checkFailure(t, err, peridotusher.NotRun, store.ErrUnavailable)
	server.SetDown(false)
	second := mustPut(t, client, "k/b", 0, "2")
	mustPut(t, client, "other", 0, "not watched")
	if _, err := client.Delete(t.Context(), "k/b", second); err != nil {
		t.Fatal(err)
	}
	want := []string{"k/b=2", "k/b deleted"}
	if diff := cmp.Diff(want, readEvents(t, client, seen+1, len(want))); diff != "" {
		t.Errorf("events after the outage (-want +got):\n%s", diff)
	}
	server.Compact(int64(second + 1))
	err = client.Watch(t.Context(), "k/", seen+1, func(store.Event) error { return nil })
	checkFailure(t, err, peridotusher.NotRun, store.ErrCompacted)
}

func TestRestoreToOlderState(t *testing.T) {
	server := &standin.Store{}
	client := startServer(t, server)
	first := mustPut(t, client, "k/a", 0, "1")
	old := server.Snapshot()
	second := mustPut(t, client, "k/a", first, "2")
	third := mustPut(t, client, "k/a", second, "3")

	server.ServeStale(true)
	if entry, err := client.Get(t.Context(), "k/a"); err != nil || entry.Revision() != first {
		t.Errorf("stale Get: %+v, %v; want revision %d", entry, err, first)
	}
	server.ServeStale(false)

	err := client.Watch(t.Context(), "k/", third, func(store.Event) error {
		server.Restore(old)
		return nil
	})
	checkFailure(t, err, peridotusher.NotRun, store.ErrWatchEnded)
	err = client.Watch(t.Context(), "k/", third+1, func(store.Event) error { return nil })
	checkFailure(t, err, peridotusher.NotRun, store.ErrRewound)
	swap, err := client.CompareAndSwap(t.Context(), "k/a", third, nil, store.NoLease)
	if err != nil || swap.Swapped() || swap.Current().Revision() != first {
		t.Errorf("swap that expects a lost revision: %+v, %v", swap, err)
	}
}

func TestLeaseExpiry(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	client := startServer(t, &standin.Store{Clock: clock})
	lease, ttl, err := client.Grant(t.Context(), 1500*time.Millisecond)
	if err != nil || ttl != 2*time.Second {
		t.Fatalf("Grant: %v, %v; want 2s", ttl, err)
	}
	swap, err := client.CompareAndSwap(t.Context(), "k/holder", 0, []byte("me"), lease)
	if err != nil {
		t.Fatal(err)
	}
	clock.advance(ttl - 1)
	if _, err := client.KeepAlive(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	clock.advance(ttl - 1)
	if entry, err := client.Get(t.Context(), "k/holder"); err != nil || entry.Lease() != lease {
		t.Errorf("Get before the lease expired: %+v, %v", entry, err)
	}
	clock.advance(1)
	want := []string{"k/holder=me", "k/holder deleted"}
	if diff := cmp.Diff(want, readEvents(t, client, swap.Revision(), len(want))); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	_, err = client.KeepAlive(t.Context(), lease)
	checkFailure(t, err, peridotusher.NotRun, store.ErrLeaseNotFound)
	_, err = client.CompareAndSwap(t.Context(), "k/holder", 0, nil, lease)
	checkFailure(t, err, peridotusher.NotRun, store.ErrLeaseNotFound)
	checkFailure(t, client.Revoke(t.Context(), lease), peridotusher.NotRun, store.ErrLeaseNotFound)
}
