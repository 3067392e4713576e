package mesh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/slowstart"
)

const (
	// coldRate and coldBound are the rate of requests and the limit for cold replicas of the
	// larger of the two services in use, in requests a second.
	coldRate  = 17.0
	coldBound = coldRate*1.5 + 5
	coldCount = 2 // cold replicas
)

// coldRouter is a router with its own clock.
type coldRouter struct {
	node    *Node
	limiter *slowstart.Limiter
	lag     time.Duration // how much its clock lags behind
}

// coldFleet simulates routers and the requests that they send to cold replicas.
type coldFleet struct {
	t       *testing.T
	now     time.Time
	rnd     *rand.Rand
	routers []*coldRouter
	cold    []*replicas.Replica
	sent    [coldCount][]time.Time
}

func newColdFleet(t *testing.T) *coldFleet {
	f := &coldFleet{t: t, now: time.Unix(5000, 0), rnd: rand.New(rand.NewPCG(7, 7))}
	table := replicas.NewTable(peridotusher.ClockFunc(func() time.Time { return f.now }))
	var entries []replicas.Entry
	for i := range coldCount {
		entries = append(entries, replicas.Entry{ID: fmt.Sprint("cold", i), Service: "s", Revision: 1, ColdRemaining: replicas.MaxCold, ReportsCold: true})
	}
	table.Merge(entries)
	f.cold = slices.Clone(table.Ready("s"))
	return f
}

// add starts routers that know no others yet; their seeds are the first routers of the fleet.
func (f *coldFleet) add(count int) []*coldRouter {
	var added []*coldRouter
	for range count {
		r := &coldRouter{}
		name := fmt.Sprint("r", len(f.routers))
		clock := peridotusher.ClockFunc(func() time.Time { return f.now.Add(-r.lag) })
		r.node = &Node{Self: Member{Name: name, Address: address(len(f.routers)), Incarnation: 1}, State: &testState{}, Clock: clock, Log: discard{}}
		r.node.Init()
		if count > 1 || len(f.routers) > 0 { // a single router has no seeds
			r.node.SetSeeds([]string{address(0), address(1)})
		}
		r.limiter = &slowstart.Limiter{Bound: func(string) float64 { return coldBound }, Share: r.node.SharePosition}
		f.routers, added = append(f.routers, r), append(added, r)
	}
	return added
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250+1) }

// exchangeUntilLearned has the routers of each group receive heartbeats of all others of the group
// until they have learned how many there are.
func (f *coldFleet) exchangeUntilLearned(groups ...[]*coldRouter) {
	for range 2 {
		for _, group := range groups {
			f.exchangeHeartbeats(group)
		}
		f.now = f.now.Add(learnTime)
	}
	for range learnHeartbeats {
		for _, group := range groups {
			f.exchangeHeartbeats(group[:min(len(group), 3)])
		}
	}
}

// exchangeHeartbeats has each router of a group receive a heartbeat of every other one.
func (f *coldFleet) exchangeHeartbeats(group []*coldRouter) {
	for _, to := range group {
		for _, from := range group {
			to.node.members.receive(&Heartbeat{Member: from.node.Self, RouterCount: from.node.RouterCount(), Format: format})
		}
	}
}

// gossipInterval is the time between two rounds of gossipRound.
const gossipInterval = 100 * time.Millisecond

// gossipRound has each router exchange heartbeats with a seed and with another router that it knows.
// These list some other routers, as heartbeats do soon after a start.
func (f *coldFleet) gossipRound() {
	for i, to := range f.routers {
		from := []*coldRouter{f.routers[f.rnd.IntN(min(len(f.routers), 2))]}
		if known := to.node.members.addresses(); len(known) > 0 {
			from = append(from, f.routerAt(known[f.rnd.IntN(len(known))]))
		}
		for _, s := range from {
			h := &Heartbeat{Member: s.node.Self, RouterCount: s.node.RouterCount(), Format: format, Known: s.node.sampleAlive(maxKnownSent)}
			to.node.members.receive(h)
			s.node.members.receive(&Heartbeat{Member: f.routers[i].node.Self, RouterCount: to.node.RouterCount(), Format: format})
		}
	}
}

func (f *coldFleet) routerAt(address string) *coldRouter {
	return f.routers[slices.IndexFunc(f.routers, func(r *coldRouter) bool { return r.node.Self.Address == address })]
}

// advance advances the time. Only routers of the same group receive heartbeats of each other.
func (f *coldFleet) advance(d time.Duration, groups ...[]*coldRouter) {
	const step = 20 * time.Second
	for range d / step {
		f.now = f.now.Add(step)
		for _, group := range groups {
			f.exchangeHeartbeats(group)
		}
		for _, r := range f.routers {
			r.node.members.removeSilent()
		}
	}
}

// sendRequests has the routers receive many times as many requests as the cold replicas may.
func (f *coldFleet) sendRequests(d time.Duration, routers []*coldRouter) {
	const step = 10 * time.Millisecond
	if len(routers) == 0 {
		f.now = f.now.Add(d)
		return
	}
	for range d / step {
		f.now = f.now.Add(step)
		for range max(len(routers)/24, 1) {
			f.sendToColdReplicas(routers[f.rnd.IntN(len(routers))])
		}
	}
}

// sendToColdReplicas has a router send a request to each cold replica for which its limiter has a free
// share.
func (f *coldFleet) sendToColdReplicas(r *coldRouter) {
	for i, replica := range f.cold {
		if sent, ok := r.limiter.Acquire(replica, r.node.Clock.Now()); ok {
			f.recordRequest(i)
			sent(r.node.Clock.Now())
		}
	}
}

func (f *coldFleet) recordRequest(replica int) { f.sent[replica] = append(f.sent[replica], f.now) }

// checkRates fails if a replica received more than coldBound requests in any second, or fewer than
// minRate a second on average over a time.
func (f *coldFleet) checkRates(minRate float64, over time.Duration) {
	f.t.Helper()
	for i, sent := range f.sent {
		highest, first := 0, 0
		for last := range sent {
			for sent[last].Sub(sent[first]) > time.Second {
				first++
			}
			highest = max(highest, last-first+1)
		}
		rate := float64(len(sent)) / over.Seconds()
		f.t.Logf("replica %d: at most %d in a second, %.1f/s", i, highest, rate)
		if float64(highest) > coldBound {
			f.t.Errorf("replica %d received %d requests in a second, the bound is %v", i, highest, coldBound)
		}
		if rate < minRate {
			f.t.Errorf("replica %d received %.1f requests/s, want %.1f", i, rate, minRate)
		}
	}
}

var coldFleetSizes = []int{1, 2, 8, 20, 89, 125, 370}

// TestColdReplicaRateLimit simulates fleets in which all routers send cold replicas as many requests as
// their limiters allow, also while the fleet is partitioned or its routers start.
func TestColdReplicaRateLimit(t *testing.T) {
	const over = 8 * time.Second
	const silence = 80 * time.Second // longer than rememberTime in any of these fleets
	tests := []struct {
		name     string
		minRate  float64 // requests/s that each replica has to receive
		simulate func(f *coldFleet, size int)
	}{
		{"no partition", coldRate / 2, func(f *coldFleet, size int) {
			f.exchangeUntilLearned(f.add(size))
			f.sendRequests(over, f.routers)
		}},
		{"long partition into halves", 0, func(f *coldFleet, size int) {
			f.exchangeUntilLearned(f.add(size))
			a, b := f.routers[:size/2], f.routers[size/2:]
			f.sendRequests(over/8, f.routers)
			f.advance(silence, a, b)
			f.sendRequests(over, f.routers)
		}},
		{"partitioned since the start", 0, func(f *coldFleet, size int) {
			a, b := f.add((size+1)/2), f.add(size/2)
			for _, r := range b {
				r.node.SetSeeds([]string{b[0].node.Self.Address})
			}
			f.exchangeUntilLearned(a, b[:len(b):len(b)])
			f.sendRequests(over, f.routers)
		}},
		{"a third isolated one by one for long", 0, func(f *coldFleet, size int) {
			f.exchangeUntilLearned(f.add(size))
			f.sendRequests(over/8, f.routers)
			f.advance(silence, f.routers[size/3:])
			f.sendRequests(over, f.routers)
		}},
		{"a third restarted and knows no others", 0, func(f *coldFleet, size int) {
			f.exchangeUntilLearned(f.add(size))
			started := f.add(size / 3)
			f.sendRequests(over/2, started)
			if n := len(f.sent[0]); n > 0 {
				f.t.Errorf("routers that know no others have sent %d requests", n)
			}
			f.sendRequests(over/2, f.routers)
		}},
		{"all start at once and discover each other gradually", 0, func(f *coldFleet, size int) {
			f.add(min(size, 125)) // larger fleets send nothing in this time
			for range over / gossipInterval {
				f.gossipRound()
				f.sendRequests(gossipInterval, f.routers)
			}
		}},
		{"routers join during the load", coldRate / 2, func(f *coldFleet, size int) {
			f.exchangeUntilLearned(f.add(size))
			f.sendRequests(over/2, f.routers)
			f.add(size/2 + 1)
			f.exchangeHeartbeats(f.routers)
			f.sendRequests(over/2, f.routers)
		}},
	}
	for _, tt := range tests {
		for _, size := range coldFleetSizes {
			t.Run(fmt.Sprint(tt.name, "/", size), func(t *testing.T) {
				f := newColdFleet(t)
				tt.simulate(f, size)
				f.checkRates(tt.minRate, over)
			})
		}
	}
}

// TestColdReplicaRateLimitAfterHostPauses pauses hosts for seconds, just after their routers took shares
// and before these sent the requests. Afterwards their clocks lag behind for a while.
func TestColdReplicaRateLimitAfterHostPauses(t *testing.T) {
	const pause, untilNoticed, over = 3 * time.Second, 240 * time.Millisecond, 10 * time.Second
	for _, size := range []int{2, 89, 370} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newColdFleet(t)
			f.exchangeUntilLearned(f.add(size))
			f.sendRequests(2*time.Second, f.routers)
			stopped, others := f.routers[:size/2], f.routers[size/2:]
			type pending struct {
				replica int
				sent    func(time.Time)
				r       *coldRouter
			}
			var unsent []pending
			for _, r := range stopped {
				for i, replica := range f.cold {
					if sent, ok := r.limiter.Acquire(replica, r.node.Clock.Now()); ok {
						unsent = append(unsent, pending{i, sent, r})
					}
				}
			}
			f.sendRequests(pause, others)
			for _, r := range stopped {
				r.lag = pause
				f.sendToColdReplicas(r) // before the request for which a share was taken is sent
			}
			for _, p := range unsent {
				f.recordRequest(p.replica)
				p.sent(p.r.node.Clock.Now())
			}
			f.sendRequests(untilNoticed, f.routers)
			for _, r := range stopped {
				r.lag = 0
				r.limiter.DelayAll(r.node.Clock.Now())
			}
			f.sendRequests(over/2, f.routers)
			f.checkRates(0, over)
		})
	}
}

// TestShare has routers agree on an order, and retain the ranks of silent routers but not of stopped
// ones.
func TestShare(t *testing.T) {
	const size, key = 12, 99
	f := newColdFleet(t)
	f.exchangeUntilLearned(f.add(size))
	ranks := make(map[int]bool)
	for _, r := range f.routers {
		rank, routers, known := r.node.SharePosition(key)
		if routers != size || !known {
			t.Errorf("%d routers, known %v, want %d", routers, known, size)
		}
		ranks[rank] = true
	}
	if len(ranks) != size {
		t.Errorf("%d ranks of %d routers", len(ranks), size)
	}
	stopping := f.routers[size-1].node.Self
	f.routers[0].node.members.receive(&Heartbeat{Member: stopping, RouterCount: size, Format: format, Stopping: true})
	f.advance(time.Minute, f.routers[:1])
	if _, routers, _ := f.routers[0].node.SharePosition(key); routers != size-1 {
		t.Errorf("%d routers after one stopped and the others fell silent, want %d", routers, size-1)
	}
	f.advance(silentRetention, f.routers[:1])
	if _, routers, known := f.routers[0].node.SharePosition(key); routers != 1 || !known {
		t.Errorf("%d routers, known %v after a very long silence, want 1", routers, known)
	}
}

// TestCachedSharePositionIsInvalidated guards against a cached position that is outdated because routers
// joined, stopped, fell silent or learned of others: it always equals the recomputed one.
func TestCachedSharePositionIsInvalidated(t *testing.T) {
	f := newColdFleet(t)
	f.exchangeUntilLearned(f.add(12))
	r := f.routers[0].node
	for step := range 400 {
		from := f.routers[f.rnd.IntN(len(f.routers))].node
		switch f.rnd.IntN(8) {
		case 0:
			f.now = f.now.Add(minRememberTime)
			r.members.removeSilent()
		case 1:
			f.add(1)
		case 2:
			f.now = f.now.Add(silentRetention / 2)
			r.members.removeSilent()
		case 3:
			r.members.add(from.Self)
		default:
			r.members.receive(&Heartbeat{Member: from.Self, RouterCount: f.rnd.IntN(40), Format: format, Stopping: f.rnd.IntN(4) == 0})
		}
		for key := range uint64(3) {
			rank, routers, _ := r.SharePosition(key)
			if got, want := (sharePosition{rank, routers}), r.members.computePosition(key); got != want {
				t.Fatalf("step %d: position %+v, want %+v", step, got, want)
			}
		}
	}
}

// BenchmarkShare measures the lookup of the position in a large fleet.
func BenchmarkShare(b *testing.B) {
	n := &Node{Self: Member{Name: "self"}, State: &testState{}, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	for i := range 370 {
		n.AddMember(Member{Name: fmt.Sprint("r", i), Address: address(i)})
	}
	for b.Loop() {
		n.SharePosition(1)
	}
}

// TestFleetSizeIsLearned has a router start: it knows how many routers there are only after it has
// received heartbeats of half of its seeds and then no report of more routers for a while, or if its
// settings name no other router.
func TestFleetSizeIsLearned(t *testing.T) {
	const key = 99
	f := newColdFleet(t)
	r := f.add(6)[5].node
	receive := func(i, routers int) {
		r.members.receive(&Heartbeat{Member: f.routers[i].node.Self, RouterCount: routers, Format: format})
	}
	alone := f.add(1)[0].node
	alone.SetSeeds([]string{alone.Self.Address})
	if _, routers, known := alone.SharePosition(key); routers != 1 || !known {
		t.Errorf("a router whose settings name no other: %d routers, known %v", routers, known)
	}
	steps := []struct {
		name string
		do   func()
		want bool
	}{
		{"no heartbeat was received", func() { r.SetSeeds([]string{address(0), address(1), address(2), r.Self.Address}) }, false},
		{"a long time has passed", func() { f.now = f.now.Add(time.Minute) }, false},
		{"heartbeats of no seed", func() {
			for range 2 * learnHeartbeats {
				receive(4, 6)
				f.now = f.now.Add(learnTime)
			}
		}, false},
		{"heartbeats of half of the seeds, one of which reports more routers", func() { receive(0, 40) }, false},
		{"the time has passed", func() { f.now = f.now.Add(learnTime) }, false},
		{"heartbeats report no more routers", func() {
			for range learnHeartbeats {
				receive(0, 40)
			}
		}, true},
		{"all fell silent", func() { f.advance(time.Minute, nil) }, true},
	}
	for _, s := range steps {
		s.do()
		if _, _, known := r.SharePosition(key); known != s.want {
			t.Errorf("%s: known = %v, want %v", s.name, known, s.want)
		}
		if s.name == "the time has passed" {
			if rank, routers, _ := r.SharePosition(key); routers != 40 || rank < 37 {
				t.Errorf("rank %d of %d with 37 routers that are only reported, want a rank after them", rank, routers)
			}
		}
	}
}

// TestDuplicateSeeds guards against settings that name a seed more than once, with which a router would
// need heartbeats of more seeds than there are.
func TestDuplicateSeeds(t *testing.T) {
	f := newColdFleet(t)
	r := f.add(3)[2].node
	r.SetSeeds([]string{address(0), address(1), address(0), address(0)})
	for range 2 * learnHeartbeats {
		f.now = f.now.Add(learnTime)
		r.members.receive(&Heartbeat{Member: f.routers[0].node.Self, RouterCount: 2, Format: format})
	}
	if _, _, known := r.SharePosition(1); !known {
		t.Error("a router with a heartbeat of one of two seeds does not know how many routers there are")
	}
}

// TestColdTimeRoundTrip encodes cold times: none reported, zero, a fraction of a millisecond, which must
// not become zero, and one that is too long.
func TestColdTimeRoundTrip(t *testing.T) {
	tests := []struct{ entry, want replicas.Entry }{
		{replicas.Entry{ID: "a"}, replicas.Entry{ID: "a"}},
		{replicas.Entry{ID: "a", ReportsCold: true}, replicas.Entry{ID: "a", ReportsCold: true}},
		{replicas.Entry{ID: "a", ReportsCold: true, ColdRemaining: 1}, replicas.Entry{ID: "a", ReportsCold: true, ColdRemaining: time.Millisecond}},
		{replicas.Entry{ID: "a", ReportsCold: true, ColdRemaining: 1 << 62}, replicas.Entry{ID: "a", ReportsCold: true, ColdRemaining: replicas.MaxCold}},
	}
	for _, tt := range tests {
		got, err := unmarshalEntry(marshalEntry(tt.entry))
		if err != nil || got != tt.want {
			t.Errorf("%+v is decoded as %+v, %v, want %+v", tt.entry, got, err, tt.want)
		}
	}
}
