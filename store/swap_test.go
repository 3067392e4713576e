package store_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/store"
)

func TestCompareAndSwap(t *testing.T) {
	client := startServer(t, &standin.Store{})
	first := mustPut(t, client, "a", 0, "1")
	second := mustPut(t, client, "a", first, "2")
	for _, expect := range []store.Revision{0, first, second + 1} {
		swap, err := client.CompareAndSwap(t.Context(), "a", expect, []byte("3"), store.NoLease)
		if err != nil {
			t.Fatal(err)
		}
		got := fmt.Sprint(swap.Swapped(), string(swap.Current().Value()), swap.Current().Revision(), swap.Revision())
		if diff := cmp.Diff(fmt.Sprint(false, "2", second, second), got); diff != "" {
			t.Errorf("expect %d (-want +got):\n%s", expect, diff)
		}
	}
	swap, err := client.Delete(t.Context(), "a", second)
	if err != nil || !swap.Swapped() {
		t.Fatalf("Delete: %+v, %v", swap, err)
	}
	entry, err := client.Get(t.Context(), "a")
	if err != nil || entry.Exists() {
		t.Errorf("Get after Delete: %+v, %v", entry, err)
	}
	want := store.Calls{Get: 1, Swap: 5, Delete: 1}
	if diff := cmp.Diff(want, client.Calls()); diff != "" {
		t.Errorf("Calls (-want +got):\n%s", diff)
	}
}

func TestCompareAndSwapManyWritesAllOrNone(t *testing.T) {
	client := startServer(t, &standin.Store{})
	a := mustPut(t, client, "k/a", 0, "1")
	puts := []store.Put{{Key: "k/a", Value: []byte("2")}, {Key: "k/b", Value: []byte("2")}}
	wrong := []store.Compare{{Key: "k/b", Revision: 0}, {Key: "k/a", Revision: a + 1}}
	swap, err := client.CompareAndSwapMany(t.Context(), wrong, puts)
	if err != nil || swap.Swapped() {
		t.Fatalf("wrong compare: %+v, %v", swap, err)
	}
	if b, a := swap.Entries()[0], swap.Entries()[1]; b.Exists() || string(a.Value()) != "1" {
		t.Errorf("current entries: %+v", swap.Entries())
	}
	right := []store.Compare{{Key: "k/b", Revision: 0}, {Key: "k/a", Revision: a}}
	if swap, err = client.CompareAndSwapMany(t.Context(), right, puts); err != nil || !swap.Swapped() {
		t.Fatalf("right compare: %+v, %v", swap, err)
	}
	mustPut(t, client, "k0", 0, "outside the prefix")
	entries, revision, err := client.List(t.Context(), "k/")
	if err != nil {
		t.Fatal(err)
	}
	if revision != swap.Revision()+1 {
		t.Errorf("List: revision %d, want %d", revision, swap.Revision()+1)
	}
	var got []string
	for _, e := range entries {
		got = append(got, fmt.Sprintf("%s=%s@%d", e.Key(), e.Value(), e.Revision()))
	}
	want := []string{fmt.Sprintf("k/a=2@%d", swap.Revision()), fmt.Sprintf("k/b=2@%d", swap.Revision())}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("List (-want +got):\n%s", diff)
	}
}

func TestOneOfConcurrentSwapsSucceeds(t *testing.T) {
	client := startServer(t, &standin.Store{})
	var wins atomic.Int64
	var group errgroup.Group
	for i := range 20 {
		group.Go(func() error {
			swap, err := client.CompareAndSwap(t.Context(), "a", 0, fmt.Append(nil, i), store.NoLease)
			if swap.Swapped() {
				wins.Add(1)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil || wins.Load() != 1 {
		t.Errorf("%d swaps won, want 1; error %v", wins.Load(), err)
	}
}
