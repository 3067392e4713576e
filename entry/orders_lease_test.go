package entry

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/store"
)

const (
	leaseTTL  = 10 * time.Second
	leaseKey  = "orders/a"
	grantTime = 3 * time.Second
)

// leaseClock is a clock that stands until it is moved.
type leaseClock struct{ now atomic.Int64 }

func (c *leaseClock) Now() time.Time { return time.Unix(0, c.now.Load()) }

func (c *leaseClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// leaseBed is a stand-in store on a clock of its own.
type leaseBed struct {
	clock  *leaseClock
	store  *standin.Store
	client *store.Client
}

func startLeaseBed(t *testing.T) *leaseBed {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &leaseBed{clock: &leaseClock{}}
	b.clock.advance(time.Hour)
	b.store = &standin.Store{Listener: listener, Clock: b.clock}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return b.store.Run(ctx) })
	client, closeClient, err := store.New(store.Config{Addresses: []string{listener.Addr().String()}})
	if err != nil {
		t.Fatal(err)
	}
	b.client = client
	t.Cleanup(func() {
		closeClient()
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return b
}

func (b *leaseBed) lease(name string) *orderLease {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &orderLease{store: b.client, leases: b.client, key: leaseKey, name: name, clock: b.clock, log: log}
}

// slowLeases takes a while to answer a grant.
type slowLeases struct {
	Leases
	clock *leaseClock
}

func (s slowLeases) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	id, granted, err := s.Leases.Grant(ctx, ttl)
	s.clock.advance(grantTime)
	return id, granted, err
}

// fences returns the fencing numbers of the leases that hold now, 0 for none.
func fences(leases ...*orderLease) []uint64 {
	var numbers []uint64
	for _, l := range leases {
		held, ok := l.current()
		if !ok {
			held.fence = 0
		}
		numbers = append(numbers, held.fence)
	}
	return numbers
}

func TestLeaseChangesHands(t *testing.T) {
	b := startLeaseBed(t)
	one, two := b.lease("one"), b.lease("two")
	one.leases = slowLeases{b.client, b.clock}
	maintain := func(l *orderLease) { l.maintain(t.Context(), leaseTTL, true) }
	maintain(one)
	maintain(two)
	first := fences(one, two)
	if first[0] == 0 || first[1] != 0 {
		t.Fatalf("fencing numbers %v, want one holder", first)
	}
	old, _ := one.current()
	b.clock.advance(leaseTTL - grantTime)
	if diff := cmp.Diff([]uint64{0, 0}, fences(one, two)); diff != "" {
		t.Errorf("the time counts from before the grant (-want +got):\n%s", diff)
	}
	b.clock.advance(grantTime)
	maintain(two)
	second := fences(one, two)
	if second[0] != 0 || second[1] <= first[0] {
		t.Errorf("fencing numbers %v after %v, want a higher one of the second holder", second, first)
	}
	if !errors.Is(one.check(old.id), errNoLease) {
		t.Error("an order of the lapsed lease passes its check")
	}
	two.maintain(t.Context(), leaseTTL, false) // is no candidate any more
	maintain(one)                              // learns that its lease is gone
	maintain(one)
	third := fences(one, two)
	if third[0] <= second[1] || third[1] != 0 {
		t.Errorf("fencing numbers %v after %v, want a higher one of the first router", third, second)
	}
}

func TestLostLeaseAnswerIsSettled(t *testing.T) {
	b := startLeaseBed(t)
	lease := b.lease("one")
	lease.leases = losingLeases{b}
	lease.maintain(t.Context(), leaseTTL, true)
	entry, err := b.client.Get(t.Context(), leaseKey)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]uint64{uint64(entry.Revision())}, fences(lease)); diff != "" || !entry.Exists() {
		t.Errorf("fencing number (-want +got):\n%s", diff)
	}
}

// losingLeases lets the answer to the call after a grant get lost.
type losingLeases struct{ bed *leaseBed }

func (l losingLeases) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	id, granted, err := l.bed.client.Grant(ctx, ttl)
	l.bed.store.LoseAnswers(1)
	return id, granted, err
}

func (l losingLeases) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	return l.bed.client.KeepAlive(ctx, id)
}

func (l losingLeases) Revoke(ctx context.Context, id store.LeaseID) error {
	return l.bed.client.Revoke(ctx, id)
}

func TestLeaseLapsesWithoutTheStore(t *testing.T) {
	b := startLeaseBed(t)
	lease := b.lease("one")
	lease.maintain(t.Context(), leaseTTL, true)
	b.store.SetDown(true)
	b.clock.advance(leaseTTL - 1)
	lease.maintain(t.Context(), leaseTTL, true)
	if _, ok := lease.current(); !ok {
		t.Error("the lease lapsed early")
	}
	b.clock.advance(1)
	if _, ok := lease.current(); ok {
		t.Error("the lease holds beyond its time")
	}
}

func TestFenceIsRaisedAboveAnEngines(t *testing.T) {
	b := startLeaseBed(t)
	lease := b.lease("one")
	lease.maintain(t.Context(), leaseTTL, true)
	held, _ := lease.current()
	var got []uint64
	for _, seen := range []uint64{held.fence - 1, held.fence, held.fence + 40} {
		lease.raise(held.id, seen)
		got = append(got, fences(lease)...)
	}
	if diff := cmp.Diff([]uint64{held.fence, held.fence, held.fence + 41}, got); diff != "" {
		t.Errorf("fencing numbers (-want +got):\n%s", diff)
	}
}

func TestNewHolderWaits(t *testing.T) {
	doc, problems := document.Parse("policy.ini", []byte("[policy]\nlease = 10s\nflight = 5s\n"))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	policy := doc.Policy().Rollout()
	held := heldLease{acquired: time.Unix(1000, 0)}
	got := map[document.Fencing][]bool{}
	for _, fencing := range []document.Fencing{document.FencingChecked, document.FencingIgnored} {
		for _, after := range []time.Duration{0, 15*time.Second - 1, 15 * time.Second} {
			got[fencing] = append(got[fencing], held.mayOrder(held.acquired.Add(after), fencing, policy))
		}
	}
	want := map[document.Fencing][]bool{
		document.FencingChecked: {true, true, true},
		document.FencingIgnored: {false, false, true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("may order (-want +got):\n%s", diff)
	}
}
