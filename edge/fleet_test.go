package edge

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// memoryStore is an in-memory store with the platform's list of replicas.
type memoryStore struct {
	mu         sync.Mutex
	revision   int64
	entries    map[string]replicas.Entry
	departedAt map[string]time.Time // when a replica began to leave or was removed
	reads      int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: make(map[string]replicas.Entry), departedAt: make(map[string]time.Time)}
}

// put writes the entry of a replica.
func (s *memoryStore) put(id string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.entries[id] = replicas.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, StartedAt: 1, Leaving: leaving, Revision: s.revision}
	delete(s.departedAt, id)
	if leaving {
		s.departedAt[id] = time.Now()
	}
}

// remove removes the entry of a replica, which may have announced that it leaves.
func (s *memoryStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if e, ok := s.entries[id]; ok && !e.Leaving {
		s.departedAt[id] = time.Now()
	}
	delete(s.entries, id)
}

// recordDelays records for each departed replica that a router still uses how long ago it
// departed, if that is its longest delay so far.
func (s *memoryStore) recordDelays(r *Router, longest map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, replica := range r.table.Ready("s") {
		if at, ok := s.departedAt[replica.ID()]; ok {
			longest[replica.ID()] = max(longest[replica.ID()], time.Since(at))
		}
	}
}

// readCount returns how often the list was read.
func (s *memoryStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// storeDelay is how long reading a memoryStore takes.
const storeDelay = 4 * time.Millisecond

// storeClient is one router's access to a memoryStore. The store may refuse its calls.
type storeClient struct {
	Source
	store   *memoryStore
	refused bool
}

func (c storeClient) Document(context.Context) (*routing.Document, replicas.EvacuationList, peridotusher.Position, error) {
	if c.refused {
		return nil, replicas.EvacuationList{}, peridotusher.Position{}, errBusy
	}
	return &routing.Document{Version: 1}, replicas.EvacuationList{}, peridotusher.Position{Revision: 1}, nil
}

func (c storeClient) NextDocument(ctx context.Context, after peridotusher.Position, wait time.Duration) (*routing.Document, replicas.EvacuationList, peridotusher.Position, error) {
	return staticSource{}.NextDocument(ctx, after, wait)
}

func (c storeClient) Replicas(context.Context, string) (replicas.Page, error) {
	time.Sleep(storeDelay)
	if c.refused {
		return replicas.Page{}, errBusy
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.reads++
	return replicas.Page{At: peridotusher.Position{Revision: c.store.revision}, Entries: slices.Collect(maps.Values(c.store.entries))}, nil
}

// memoryNetwork delivers datagrams between routers and drops some of them.
type memoryNetwork struct {
	delay time.Duration
	loss  float64
	conns map[string]*memoryConn // by address
}

// memoryConn is a router's socket in a memoryNetwork, and its listener for sessions, which are
// never opened.
type memoryConn struct {
	net.PacketConn
	network *memoryNetwork
	address net.Addr
	in      chan packet
	closed  chan struct{}
	once    sync.Once
}

type packet struct {
	data      []byte
	from      net.Addr
	arrivesAt time.Time
}

func (n *memoryNetwork) listen(address string) error {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	const queued = 1 << 12
	n.conns[address] = &memoryConn{network: n, address: to, in: make(chan packet, queued), closed: make(chan struct{})}
	return nil
}

func (c *memoryConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.in:
		time.Sleep(time.Until(p.arrivesAt)) // the delay is constant, so datagrams arrive in order
		return copy(b, p.data), p.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *memoryConn) WriteTo(b []byte, to net.Addr) (int, error) {
	peer := c.network.conns[to.String()]
	if peer == nil || rand.Float64() < c.network.loss {
		return len(b), nil
	}
	select {
	case peer.in <- packet{slices.Clone(b), c.address, time.Now().Add(c.network.delay)}:
	default: // dropped, as by a full socket buffer
	}
	return len(b), nil
}

func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Accept implements net.Listener.
func (c *memoryConn) Accept() (net.Conn, error) {
	<-c.closed
	return nil, net.ErrClosed
}

// Addr implements net.Listener.
func (c *memoryConn) Addr() net.Addr { return c.address }

// newFleetRouter returns a router that knows all members of its fleet.
func newFleetRouter(t *testing.T, self mesh.Member, members []mesh.Member, drain time.Duration) *Router {
	t.Helper()
	r := newTestRouter(t)
	bounds := *r.bounds.Load()
	bounds.drainTime = drain
	r.bounds.Store(&bounds)
	r.node.Self = self
	r.node.Init()
	r.lists.start(r.clock.Now(), r.node.RendezvousScore(listTopic))
	r.settled.Store(true)
	for _, other := range members {
		r.node.AddMember(other)
	}
	return r
}

// testFleet is a fleet of routers that exchange heartbeats and changes in memory. They cannot
// open sessions to fetch state from each other.
type testFleet struct {
	count   int
	drain   time.Duration
	delay   time.Duration // of a datagram
	store   *memoryStore
	refused func(i int) bool // whether the store refuses a router

	routers []*Router
}

// start runs the fleet until stop is called.
func (f *testFleet) start(t *testing.T) (stop func() error) {
	t.Helper()
	const loss = 0.01
	network := &memoryNetwork{delay: f.delay, loss: loss, conns: make(map[string]*memoryConn)}
	var members []mesh.Member
	for i := range f.count {
		members = append(members, mesh.Member{Name: fmt.Sprint("r", i), Zone: "a", Address: fmt.Sprintf("127.77.0.%d:9", i+1), Incarnation: 1})
	}
	for i, self := range members {
		r := newFleetRouter(t, self, members, f.drain)
		r.Source = storeClient{store: f.store, refused: f.refused(i)}
		if err := network.listen(self.Address); err != nil {
			t.Fatal(err)
		}
		f.routers = append(f.routers, r)
	}
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	for _, r := range f.routers {
		conn := network.conns[r.node.Self.Address]
		group.Go(func() error { return r.node.Run(ctx, conn, conn) })
		group.Go(func() error { return r.followReplicas(ctx) })
		group.Go(func() error { return r.runHousekeeping(ctx) })
	}
	return func() error {
		cancel()
		return group.Wait()
	}
}
