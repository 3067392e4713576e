package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
)

// hop is the network delay of a datagram.
const hop = 3 * time.Millisecond

// fleet is a set of routers with a network between them, on a fake clock.
type fleet struct {
	t  *testing.T
	mu sync.Mutex
	// routers are the running routers by name.
	routers map[string]*testRouter
	// coordinator is the router that all routers treat as the service's coordinator, except
	// those for which views has another one.
	coordinator string
	views       map[string]string
	// deliver simulates the network: it calls send each time that the datagram arrives.
	deliver func(from, to string, send func())
	ctx     context.Context
	group   errgroup.Group
	slots   int // of the one replica
	// running is the number of requests that use a slot, maxRunning its maximum.
	running, maxRunning int
}

// testRouter is one router of a fleet.
type testRouter struct {
	name        string
	fleet       *fleet
	coordinator *Coordinator
	client      *Client
	stop        context.CancelFunc
	sent        atomic.Int32 // number of datagrams
}

type discard struct{}

func (discard) Event(string, ...any) {}

// runFleet runs f with a fleet on a fake clock.
func runFleet(t *testing.T, slots int, f func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		fl := &fleet{
			t: t, routers: make(map[string]*testRouter), coordinator: "c", views: make(map[string]string), ctx: ctx, slots: slots,
		}
		fl.deliver = func(_, _ string, send func()) { time.AfterFunc(hop, send) }
		for _, name := range []string{"a", "b", "c", "d"} {
			fl.start(name, 1)
		}
		f(fl)
		stop()
		if err := fl.group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// start starts or restarts a router.
func (fl *fleet) start(name string, incarnation int64) *testRouter {
	if previous := fl.router(name); previous != nil {
		previous.stop()
	}
	clock := peridotusher.ClockFunc(time.Now)
	r := &testRouter{name: name, fleet: fl}
	r.coordinator = &Coordinator{
		Clock: clock, Log: discard{}, NewQueue: func() ServiceQueue { return newFIFOQueue(clock) },
		Replicas: func(string) []AvailableReplica { return []AvailableReplica{{Hash: 1, Slots: fl.slots, Pace: 1}} },
	}
	r.client = &Client{
		Router: name, Incarnation: incarnation, Clock: clock, Transport: r, LocalCoordinator: r.coordinator,
		KnowsReplica: func(replica uint32) bool { return replica == 1 },
	}
	r.coordinator.Send = r.reply
	ctx, stop := context.WithCancel(fl.ctx)
	r.stop = stop
	fl.group.Go(func() error { return r.coordinator.Run(ctx) })
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.routers[name] = r
	return r
}

// router returns the router with the name; nil if it does not run.
func (fl *fleet) router(name string) *testRouter {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.routers[name]
}

// kill stops a router. Datagrams sent to it are dropped.
func (fl *fleet) kill(name string) {
	fl.router(name).stop()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	delete(fl.routers, name)
}

// send sends a datagram that calls f with the receiving router, if it runs when the datagram
// arrives.
func (r *testRouter) send(to string, f func(to *testRouter)) {
	r.sent.Add(1)
	r.fleet.deliver(r.name, to, func() {
		if receiver := r.fleet.router(to); receiver != nil {
			f(receiver)
		}
	})
}

func (r *testRouter) reply(router string, reply Reply) {
	if router == r.name {
		r.client.Receive(reply)
		return
	}
	r.send(router, func(to *testRouter) { to.client.Receive(reply) })
}

// Coordinator implements Transport.
func (r *testRouter) Coordinator(string) (string, bool, bool) {
	name := r.fleet.coordinator
	if view, ok := r.fleet.views[r.name]; ok {
		name = view
	}
	return name, name == r.name, name != ""
}

// Ask implements Transport.
func (r *testRouter) Ask(router string, request Request) {
	r.send(router, func(to *testRouter) {
		reply, _ := to.coordinator.Submit(request)
		to.reply(request.Router, reply)
	})
}

// Release implements Transport.
func (r *testRouter) Release(router, service string, id uint64, u Usage) {
	r.send(router, func(to *testRouter) { to.coordinator.Release(service, r.name, r.client.Incarnation, id, u) })
}

// Cancel implements Transport.
func (r *testRouter) Cancel(router, service string, id uint64) {
	r.send(router, func(to *testRouter) { to.coordinator.Cancel(service, r.name, r.client.Incarnation, id) })
}

// timedGrant is the grant of a request and the time until it.
type timedGrant struct {
	Grant
	took time.Duration
}

// acquire acquires a slot and holds it for the time.
func (r *testRouter) acquire(ctx context.Context, request Request, hold time.Duration) timedGrant {
	request.Service = "s"
	start := time.Now()
	g := timedGrant{Grant: r.client.Acquire(ctx, request)}
	g.took = time.Since(start)
	if g.State != Granted {
		return g
	}
	r.fleet.runRequest(hold)
	g.Release(Usage{Replica: g.Replica, Took: hold})
	g.Release(Usage{}) // has no effect
	return g
}

// runRequest counts a running request for the time.
func (fl *fleet) runRequest(hold time.Duration) {
	fl.mu.Lock()
	fl.running++
	fl.maxRunning = max(fl.maxRunning, fl.running)
	fl.mu.Unlock()
	time.Sleep(hold)
	fl.mu.Lock()
	fl.running--
	fl.mu.Unlock()
}

// relaxedRequest is a request with ample time to wait.
var relaxedRequest = Request{LatencyTarget: 2 * time.Second, Deadline: 3 * time.Second}

// slotsAndWaiting returns the numbers of slots held and of requests waiting at the router's
// coordinator.
func (r *testRouter) slotsAndWaiting() [2]int {
	stats := r.coordinator.Stats()
	return [2]int{stats.Held, stats.Waiting}
}
