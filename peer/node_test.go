package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
)

const (
	testHeartbeat = 20 * time.Millisecond
	testTimeout   = 30 * time.Second // of the fake clock; in real time only a failing test reaches it
	waitLimit     = 20 * time.Second
)

// fakeClock is a clock that only advance moves.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1000, 0)} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fakePermits is a PermitHandler that grants every request and records all calls.
type fakePermits struct {
	mu        sync.Mutex
	blockAsks chan struct{} // if set, Ask waits until it closes
	asks      []peridotusher.Ask
	returns   []peridotusher.Release
	held      []peridotusher.HeldPermit
}

func (p *fakePermits) Ask(_ context.Context, ask peridotusher.Ask) peridotusher.Answer {
	p.mu.Lock()
	p.asks = append(p.asks, ask)
	p.mu.Unlock()
	if p.blockAsks != nil {
		<-p.blockAsks
	}
	return testAnswer
}

func (p *fakePermits) Release(r peridotusher.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returns = append(p.returns, r)
}

func (p *fakePermits) Report(_ peridotusher.RouterID, held []peridotusher.HeldPermit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = append(p.held, held...)
}

func (p *fakePermits) asked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.asks)
}

func (p *fakePermits) returned() []peridotusher.Release {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]peridotusher.Release(nil), p.returns...)
}

var testAnswer = peridotusher.Answer{
	Granted:    true,
	Permit:     "permit-1",
	Engine:     "engine-1",
	Next:       "engine-2",
	Cause:      peridotusher.CauseOverloaded,
	RetryAfter: time.Second,
	Loads:      []peridotusher.EngineLoad{{Engine: "engine-1", Model: "m", Work: 3, Permits: 2, Age: time.Millisecond}},
}

// testNode is a running node with its fake clock and fake permits.
type testNode struct {
	*Node
	clock   *fakeClock
	permits *fakePermits
	stop    func()
}

// listen opens a listener on loopback, on a free port if the address is empty.
func listen(t testing.TB, address string) net.Listener {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// startNode runs a node until stop is called or the test ends.
func startNode(t testing.TB, id peridotusher.RouterID, incarnation uint64, listener net.Listener, configure func(*Node)) *testNode {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := newFakeClock()
	self := peridotusher.NewMember(id, "north", listener.Addr().String(), incarnation)
	n := &testNode{clock: clock, permits: &fakePermits{}}
	n.Node = &Node{
		Self:              self,
		Listener:          listener,
		Members:           peridotusher.NewMembers(self, clock),
		Permits:           n.permits,
		HeartbeatInterval: testHeartbeat,
		SuspectTimeout:    testTimeout,
		Clock:             clock,
		Log:               log,
	}
	if configure != nil {
		configure(n.Node)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	running := sync.WaitGroup{}
	n.once.Do(n.init)
	running.Go(func() { ended <- n.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		if err := <-ended; err != nil {
			t.Errorf("Run of %s: %v", id, err)
		}
	})
	t.Cleanup(n.stop)
	return n
}

// eventually waits until the condition holds.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	limit := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// introduce proposes the others to n and waits until all are live on both sides.
func introduce(t testing.TB, n *testNode, others ...*testNode) {
	t.Helper()
	var list []peridotusher.Member
	for _, o := range others {
		list = append(list, o.Self)
	}
	n.Members.Propose(list)
	for _, o := range others {
		eventually(t, "the nodes receive heartbeats of each other", func() bool {
			return n.hasView(o) && o.hasView(n)
		})
	}
}

// hasView reports whether a heartbeat of the other node has arrived.
func (n *testNode) hasView(o *testNode) bool {
	return n.PeerStates()[o.Self.ID()].MembersVersion > 0
}

// stateOf returns the state of a member.
func (n *testNode) stateOf(id peridotusher.RouterID) string {
	m, ok := n.Members.Get(id)
	if !ok {
		return "unknown"
	}
	return m.State().String()
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	return ctx
}

func TestThreeNodesMesh(t *testing.T) {
	a := startNode(t, "a", 1, listen(t, ""), nil)
	b := startNode(t, "b", 1, listen(t, ""), nil)
	c := startNode(t, "c", 1, listen(t, ""), nil)
	a.Members.Propose([]peridotusher.Member{b.Self, c.Self})
	b.Members.Propose([]peridotusher.Member{a.Self, c.Self})
	c.Members.Propose([]peridotusher.Member{a.Self, b.Self})
	for _, n := range []*testNode{a, b, c} {
		eventually(t, "all are live", func() bool { return len(n.Members.Live("north")) == 3 })
	}
	want, _ := a.Members.OwnerOf("engine", "north")
	for _, n := range []*testNode{b, c} {
		got, _ := n.Members.OwnerOf("engine", "north")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("owner at %s (-at a +got):\n%s", n.Self.ID(), diff)
		}
	}
}

func TestPermitRoundTrip(t *testing.T) {
	a := startNode(t, "a", 1, listen(t, ""), nil)
	b := startNode(t, "b", 1, listen(t, ""), nil)
	b.clock.advance(time.Hour) // before the session exists, which would count as silent; the clocks then differ
	introduce(t, a, b)
	ctx := testContext(t)
	ask := peridotusher.Ask{
		Request: peridotusher.Request{
			ID: "request-1", Chat: "chat-1", Organisation: "o", Model: "m", Class: "chat", Work: 7,
			Deadline: a.clock.Now().Add(5 * time.Second),
		},
		Engine: "engine-1", Ingress: "a", Budget: time.Second, Deputy: true, Displaced: true,
		Ticket: 9, Relayed: true, Home: true, HoldsPrefix: true, Final: true,
	}
	answer, err := a.Ask(ctx, "b", ask)
	if err != nil {
		t.Fatal(err)
	}
	wantAnswer := testAnswer
	wantAnswer.Owner = "b"
	if diff := cmp.Diff(wantAnswer, answer); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	release := peridotusher.Release{Permit: "permit-1", Engine: "engine-1", Ingress: "a", Verdict: peridotusher.Ran, Failed: true}
	if err := a.Release(ctx, "b", release); err != nil {
		t.Fatal(err)
	}
	held := peridotusher.HeldPermit{Permit: "permit-1", Ask: ask}
	if err := a.Report(ctx, "b", []peridotusher.HeldPermit{held}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the return arrives", func() bool { return len(b.permits.returned()) > 0 })
	ask.Request.Deadline = b.clock.Now().Add(5 * time.Second)
	held.Ask = ask
	got := []any{b.permits.asks, b.permits.returns, b.permits.held}
	want := []any{[]peridotusher.Ask{ask}, []peridotusher.Release{release}, []peridotusher.HeldPermit{held}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("ask, return and report (-want +got):\n%s", diff)
	}
}

func TestAskToSelfIsNotSent(t *testing.T) {
	a := startNode(t, "a", 1, listen(t, ""), nil)
	answer, err := a.Ask(testContext(t), "a", peridotusher.Ask{})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(testAnswer, answer); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(KindCount{}, a.Counts().Sent[KindAsk]); diff != "" {
		t.Errorf("asks sent (-want +got):\n%s", diff)
	}
}

func TestPermitOfCanceledAskIsReleased(t *testing.T) {
	a := startNode(t, "a", 1, listen(t, ""), nil)
	b := startNode(t, "b", 1, listen(t, ""), nil)
	b.permits.blockAsks = make(chan struct{})
	introduce(t, a, b)
	ctx, cancel := context.WithCancel(testContext(t))
	result := make(chan error, 1)
	var asking sync.WaitGroup
	asking.Go(func() {
		_, err := a.Ask(ctx, "b", peridotusher.Ask{})
		result <- err
	})
	eventually(t, "the ask arrives", func() bool { return b.permits.asked() == 1 })
	cancel()
	if err := <-result; !errors.Is(err, context.Canceled) {
		t.Errorf("canceled permit request: error %v, want %v", err, context.Canceled)
	}
	close(b.permits.blockAsks)
	eventually(t, "the permit is released", func() bool { return len(b.permits.returned()) == 1 })
	want := []peridotusher.Release{{Permit: "permit-1", Engine: "engine-1", Ingress: "a", Verdict: peridotusher.NotRun}}
	if diff := cmp.Diff(want, b.permits.returned()); diff != "" {
		t.Errorf("returns (-want +got):\n%s", diff)
	}
}

func TestCountsBothDirections(t *testing.T) {
	a := startNode(t, "a", 1, listen(t, ""), nil)
	b := startNode(t, "b", 1, listen(t, ""), nil)
	introduce(t, a, b)
	for range 3 {
		if _, err := a.Ask(testContext(t), "b", peridotusher.Ask{Engine: "engine-1"}); err != nil {
			t.Fatal(err)
		}
	}
	ca, cb := a.Counts(), b.Counts()
	got := []uint64{ca.Sent[KindAsk].Messages, ca.Received[KindAsk].Messages, cb.Received[KindAsk].Messages}
	if diff := cmp.Diff([]uint64{3, 3, 3}, got); diff != "" {
		t.Errorf("asks sent, answers received, asks received (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(ca.Sent[KindAsk], cb.Received[KindAsk]); diff != "" {
		t.Errorf("asks sent and received (-sent +received):\n%s", diff)
	}
	if ca.SentBytes <= ca.Sent[KindAsk].Bytes || ca.ReceivedBytes <= ca.Received[KindAsk].Bytes {
		t.Errorf("totals %d and %d do not exceed the bytes of the asks", ca.SentBytes, ca.ReceivedBytes)
	}
}

func BenchmarkAsk(b *testing.B) {
	x := startNode(b, "x", 1, listen(b, ""), nil)
	y := startNode(b, "y", 1, listen(b, ""), func(n *Node) { n.Permits = discardPermits{} })
	introduce(b, x, y)
	ctx := context.Background()
	for b.Loop() {
		if _, err := x.Ask(ctx, "y", peridotusher.Ask{Engine: "engine-1", Ingress: "x"}); err != nil {
			b.Fatal(err)
		}
	}
}

// discardPermits grants every request and records nothing.
type discardPermits struct{}

func (discardPermits) Ask(context.Context, peridotusher.Ask) peridotusher.Answer {
	return peridotusher.Answer{Granted: true, Permit: "permit-1"}
}
func (discardPermits) Release(peridotusher.Release)                            {}
func (discardPermits) Report(peridotusher.RouterID, []peridotusher.HeldPermit) {}
