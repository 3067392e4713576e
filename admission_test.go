package peridotusher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/examples"
)

// stepClock is a clock that moves only when advanced.
type stepClock struct {
	mu  sync.Mutex
	now time.Time
}

func newStepClock() *stepClock { return &stepClock{now: time.Unix(1_000_000, 0)} }

func (c *stepClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *stepClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// network connects test routers without sockets.
type network struct {
	clock        *stepClock
	doc          *document.Document
	routers      map[RouterID]*testRouter
	unreachable  map[RouterID]bool
	dropReleases bool // whether release messages are lost
}

// testRouter is one router with its own view of the owners.
type testRouter struct {
	id      RouterID
	net     *network
	engines *Engines
	owner   *Owner
	ingress *Ingress
	owners  map[EngineID][2]RouterID // owner and deputy
}

var errDown = errors.New("router is down")

func newNetwork(t testing.TB, engines int, routers ...RouterID) *network {
	t.Helper()
	doc, problems := document.Parse("kalimera.ini", examples.Kalimera)
	if len(problems) > 0 {
		t.Fatal(problems[0])
	}
	n := &network{clock: newStepClock(), doc: doc, routers: map[RouterID]*testRouter{}, unreachable: map[RouterID]bool{}}
	for _, id := range routers {
		n.add(id, engines)
	}
	n.clock.advance(takeoverPeriod)
	return n
}

func (n *network) add(id RouterID, engines int) {
	r := &testRouter{id: id, net: n, engines: NewEngines(), owners: map[EngineID][2]RouterID{}}
	var list []Engine
	for k := range engines {
		list = append(list, NewEngine(engineName(k), "a", fmt.Sprintf("192.0.2.%d:1", k)))
	}
	r.engines.SetListed(list)
	for _, e := range list {
		r.engines.SetReport(e.ID(), EngineReport{Versions: []LoadedVersion{{Model: "stylist", Version: "v1", Ready: true}}, Sampled: n.clock.Now()})
	}
	ledger := NewLedger()
	placer := &Placer{Engines: r.engines, Loads: ledger}
	r.owner = &Owner{Self: id, Placer: placer, Ledger: ledger, Queue: NewQueue(), Placements: NewPlacements(),
		Ownership: r, Peers: r, Document: func() *document.Document { return n.doc }, Clock: n.clock}
	r.ingress = &Ingress{Self: id, Ownership: r, Engines: r.engines, Placer: placer, Local: r.owner, Peers: r, Clock: n.clock}
	n.routers[id] = r
}

func engineName(k int) EngineID { return EngineID(fmt.Sprintf("engine-%d", k)) }

// setOwners sets the owner and deputy of all engines in every router's view.
func (n *network) setOwners(owner, deputy RouterID) {
	for _, r := range n.routers {
		r.setOwners(owner, deputy)
	}
}

func (r *testRouter) setOwners(owner, deputy RouterID) {
	for _, e := range r.engines.All() {
		r.owners[e.ID()] = [2]RouterID{owner, deputy}
	}
}

// OwnerOf implements Ownership.
func (r *testRouter) OwnerOf(engine EngineID, _ Zone) (RouterID, bool) {
	id := r.owners[engine][0]
	return id, id != ""
}

// DeputyOf implements Ownership.
func (r *testRouter) DeputyOf(engine EngineID, _ Zone) (RouterID, bool) {
	id := r.owners[engine][1]
	return id, id != ""
}

func (r *testRouter) peer(id RouterID) (*testRouter, error) {
	if r.net.unreachable[id] || r.net.unreachable[r.id] || r.net.routers[id] == nil {
		return nil, errDown
	}
	return r.net.routers[id], nil
}

// Ask implements PermitPeers and OwnerPeers.
func (r *testRouter) Ask(ctx context.Context, to RouterID, ask Ask) (Answer, error) {
	p, err := r.peer(to)
	if err != nil {
		return Answer{}, err
	}
	return p.owner.Ask(ctx, ask), nil
}

// Release implements PermitPeers.
func (r *testRouter) Release(_ context.Context, to RouterID, ret Release) error {
	p, err := r.peer(to)
	if err != nil || r.net.dropReleases {
		return err
	}
	p.owner.Release(ret)
	return nil
}

// Report implements PermitPeers.
func (r *testRouter) Report(_ context.Context, to RouterID, held []HeldPermit) error {
	p, err := r.peer(to)
	if err != nil {
		return err
	}
	p.owner.Report(r.id, held)
	return nil
}

// SetPlacement implements PermitPeers.
func (r *testRouter) SetPlacement(_ context.Context, to RouterID, chat ChatKey, engine EngineID) error {
	p, err := r.peer(to)
	if err != nil {
		return err
	}
	p.owner.SetPlacement(chat, engine)
	return nil
}

// Grant implements OwnerPeers.
func (r *testRouter) Grant(ctx context.Context, to RouterID, a Answer) error {
	p, err := r.peer(to)
	if err != nil {
		return err
	}
	p.ingress.ReceiveDecision(ctx, a)
	return nil
}

// chatRequest returns a request of one chat.
func (n *network) chatRequest(k int) Request {
	return Request{
		ID: RequestID(fmt.Sprintf("request-%d", k)), Chat: ChatKey(fmt.Sprintf("chat-%d", k)), Organisation: "shop-athina",
		Model: "stylist", Class: "chat", Work: 1, Deadline: n.clock.Now().Add(30 * time.Second),
	}
}

// acquire obtains a permit for a new chat.
func (n *network) acquire(t testing.TB, via RouterID, k int) *Permit {
	t.Helper()
	permit, err := n.routers[via].ingress.Acquire(context.Background(), n.doc, n.chatRequest(k), nil)
	if err != nil {
		t.Fatalf("request %d: %v", k, err)
	}
	return permit
}
