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

// leaseClock is a manual clock.
type leaseClock struct{ now atomic.Int64 }

func (c *leaseClock) Now() time.Time { return time.Unix(0, c.now.Load()) }

func (c *leaseClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// leaseFixture is a stand-in store with a manual clock.
type leaseFixture struct {
	clock  *leaseClock
	store  *standin.Store
	client *store.Client
}

func startLeaseFixture(t *testing.T) *leaseFixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &leaseFixture{clock: &leaseClock{}}
	f.clock.advance(time.Hour)
	f.store = &standin.Store{Listener: listener, Clock: f.clock}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.store.Run(ctx) })
	client, closeClient, err := store.New(store.Config{Addresses: []string{listener.Addr().String()}})
	if err != nil {
		t.Fatal(err)
	}
	f.client = client
	t.Cleanup(func() {
		closeClient()
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func (f *leaseFixture) lease(name string) *orderLease {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &orderLease{store: f.client, leases: f.client, key: leaseKey, name: name, clock: f.clock, log: log}
}

// slowLeases delays the response to a grant by grantTime.
type slowLeases struct {
	Leases
	clock *leaseClock
}

func (s slowLeases) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	id, granted, err := s.Leases.Grant(ctx, ttl)
	s.clock.advance(grantTime)
	return id, granted, err
}

// currentFences returns the fencing numbers of the leases, 0 for each that is not valid now.
func currentFences(leases ...*orderLease) []uint64 {
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

func TestLeaseMovesBetweenRouters(t *testing.T) {
	f := startLeaseFixture(t)
	one, two := f.lease("one"), f.lease("two")
	one.leases = slowLeases{f.client, f.clock}
	maintain := func(l *orderLease) { l.maintain(t.Context(), leaseTTL, true) }
	maintain(one)
	maintain(two)
	first := currentFences(one, two)
	if first[0] == 0 || first[1] != 0 {
		t.Fatalf("fencing numbers %v, want one holder", first)
	}
	firstHeld, _ := one.current()
	f.clock.advance(leaseTTL - grantTime)
	if diff := cmp.Diff([]uint64{0, 0}, currentFences(one, two)); diff != "" {
		t.Errorf("lease time does not count from before the grant (-want +got):\n%s", diff)
	}
	f.clock.advance(grantTime)
	maintain(two)
	second := currentFences(one, two)
	if second[0] != 0 || second[1] <= first[0] {
		t.Errorf("fencing numbers %v after %v, want a higher one for the second holder", second, first)
	}
	if !errors.Is(one.check(firstHeld.id), errNoLease) {
		t.Error("check succeeds for the expired lease")
	}
	two.maintain(t.Context(), leaseTTL, false) // two is no longer a candidate
	maintain(one)                              // one finds that its lease is lost
	maintain(one)
	third := currentFences(one, two)
	if third[0] <= second[1] || third[1] != 0 {
		t.Errorf("fencing numbers %v after %v, want a higher one for the first router", third, second)
	}
}

func TestLeaseIsAcquiredDespiteLostResponse(t *testing.T) {
	f := startLeaseFixture(t)
	lease := f.lease("one")
	lease.leases = responseLosingLeases{f}
	lease.maintain(t.Context(), leaseTTL, true)
	entry, err := f.client.Get(t.Context(), leaseKey)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]uint64{uint64(entry.Revision())}, currentFences(lease)); diff != "" || !entry.Exists() {
		t.Errorf("fencing number (-want +got):\n%s", diff)
	}
}

// responseLosingLeases makes the store lose its response to the call after a grant.
type responseLosingLeases struct{ fixture *leaseFixture }

func (l responseLosingLeases) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	id, granted, err := l.fixture.client.Grant(ctx, ttl)
	l.fixture.store.LoseAnswers(1)
	return id, granted, err
}

func (l responseLosingLeases) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	return l.fixture.client.KeepAlive(ctx, id)
}

func (l responseLosingLeases) Revoke(ctx context.Context, id store.LeaseID) error {
	return l.fixture.client.Revoke(ctx, id)
}

func TestLeaseExpiresWithoutStore(t *testing.T) {
	f := startLeaseFixture(t)
	lease := f.lease("one")
	lease.maintain(t.Context(), leaseTTL, true)
	f.store.SetDown(true)
	f.clock.advance(leaseTTL - 1)
	lease.maintain(t.Context(), leaseTTL, true)
	if _, ok := lease.current(); !ok {
		t.Error("the lease expired early")
	}
	f.clock.advance(1)
	if _, ok := lease.current(); ok {
		t.Error("the lease is valid after its expiry")
	}
}

func TestFenceIsRaisedAboveEngineFence(t *testing.T) {
	f := startLeaseFixture(t)
	lease := f.lease("one")
	lease.maintain(t.Context(), leaseTTL, true)
	held, _ := lease.current()
	var got []uint64
	for _, seen := range []uint64{held.fence - 1, held.fence, held.fence + 40} {
		lease.raiseFence(held.id, seen)
		got = append(got, currentFences(lease)...)
	}
	if diff := cmp.Diff([]uint64{held.fence, held.fence, held.fence + 41}, got); diff != "" {
		t.Errorf("fencing numbers (-want +got):\n%s", diff)
	}
}

func TestNewHolderWaitsForOrdersInFlight(t *testing.T) {
	doc, problems := document.Parse("policy.ini", []byte("[policy]\nlease = 10s\nflight = 5s\n"))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	policy := doc.Policy().Rollout()
	held := heldLease{acquiredAt: time.Unix(1000, 0)}
	got := map[document.Fencing][]bool{}
	for _, fencing := range []document.Fencing{document.FencingChecked, document.FencingIgnored} {
		for _, after := range []time.Duration{0, 15*time.Second - 1, 15 * time.Second} {
			got[fencing] = append(got[fencing], held.mayOrder(held.acquiredAt.Add(after), fencing, policy))
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
