package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

// The defaults of a Node's fields.
const (
	defaultHeartbeat = 500 * time.Millisecond
	defaultWorkers   = 16
	timeoutFactor    = 4 // default timeout in heartbeats
	defaultIdle      = 10 * time.Second
)

// HandlerFunc answers one message. The context ends with the caller's budget.
type HandlerFunc func(ctx context.Context, from peridotusher.RouterID, body []byte) ([]byte, error)

// LoadSource gives the loads of the engines that this router owns.
type LoadSource interface {
	Loads() []peridotusher.EngineLoad
}

// LoadSink takes the loads of the engines that another router owns.
type LoadSink interface {
	SetLoads(from peridotusher.RouterID, loads []peridotusher.EngineLoad)
}

// RevisionSource gives the configuration revision in force.
type RevisionSource interface {
	Revision() uint64
}

// Node is this router's end of the connections to all other routers. Its
// fields are set before Run; Self, Listener and Members are required.
type Node struct {
	Self      peridotusher.Member
	Listener  net.Listener
	Members   *peridotusher.Members
	Permits   PermitHandler      // nil refuses every ask
	Admission AdmissionHandler   // nil drops late decisions, placements and facts
	Loads     LoadSource         // nil sends no loads
	Sink      LoadSink           // nil drops loads that arrive
	Revision  RevisionSource     // nil sends revision zero
	TLS       *Certificates      // nil connects without encryption
	Plain     bool               // plain TCP may leave this host
	Heartbeat time.Duration      // interval of heartbeats
	Timeout   time.Duration      // silence after which a router is suspect
	Clock     peridotusher.Clock // nil uses time.Now
	Log       logrus.FieldLogger // nil logs to the standard logger
	Workers   int                // workers that decide on asks, and as many for all else
	Seed      uint64             // seed of the backoff's jitter
	Budget    int                // bytes per second that may be sent; zero for no limit
	Mesh      int                // routers up to which all link with all; zero uses the default
	Idle      time.Duration      // how long a session on demand outlives its last use
	Version   uint32             // protocol version to speak, for tests of upgrades; zero for the newest

	version, oldest uint32 // protocol versions; zero uses the constants

	once     sync.Once
	handlers map[Kind]HandlerFunc
	sessions *sessionTable
	dials    *dialTable
	askPool  *pool
	pool     *pool
	traffic  *traffic
	group    *errgroup.Group
	wanted   chan peridotusher.Member // members to dial for a message
	loads    *zoneLoads
}

// Handle sets the handler of a kind. It is called before Run.
func (n *Node) Handle(kind Kind, h HandlerFunc) {
	n.once.Do(n.init)
	n.handlers[kind] = h
}

// init fills the fields that were left empty and creates the tables.
func (n *Node) init() {
	if n.Heartbeat == 0 {
		n.Heartbeat = defaultHeartbeat
	}
	if n.Timeout == 0 {
		n.Timeout = timeoutFactor * n.Heartbeat
	}
	if n.Mesh == 0 {
		n.Mesh = defaultMesh
	}
	if n.Idle == 0 {
		n.Idle = defaultIdle
	}
	if n.Clock == nil {
		n.Clock = peridotusher.ClockFunc(time.Now)
	}
	if n.Log == nil {
		n.Log = logrus.StandardLogger()
	}
	if n.Workers == 0 {
		n.Workers = defaultWorkers
	}
	if n.Version == 0 {
		n.Version = protocolVersion
	}
	if n.version == 0 {
		n.version, n.oldest = n.Version, oldestPeer(features, n.Version)
	}
	n.sessions = newSessionTable(n.Self.ID())
	n.dials = newDialTable(n.Clock, n.Heartbeat, rand.New(rand.NewPCG(n.Seed, 0)))
	n.wanted = make(chan peridotusher.Member, wantedDials)
	n.loads = newZoneLoads()
	n.askPool = newPool(n.Workers)
	n.pool = newPool(n.Workers)
	n.traffic = newTraffic(newBudget(n.Clock, n.Budget))
	n.handlers = map[Kind]HandlerFunc{
		KindAsk:     n.handleAsk,
		KindReturn:  n.handleReturn,
		KindReport:  n.handleReport,
		KindGrant:   n.handleGrant,
		KindPlaced:  n.handlePlaced,
		KindFacts:   n.handleFacts,
		KindDemands: n.handleDemands,
	}
}

// Run accepts and dials other routers until ctx ends. It closes the listener.
func (n *Node) Run(ctx context.Context) error {
	n.once.Do(n.init)
	group, ctx := errgroup.WithContext(ctx)
	n.group = group
	group.Go(func() error { return n.accept(ctx) })
	group.Go(func() error { return n.heartbeats(ctx) })
	group.Go(func() error { return n.dialWanted(ctx) })
	for range n.Workers {
		group.Go(func() error { return n.askPool.work(ctx) })
		group.Go(func() error { return n.pool.work(ctx) })
	}
	group.Go(func() error {
		<-ctx.Done()
		n.sessions.closeAll()
		return n.Listener.Close()
	})
	return group.Wait()
}

// Call sends a message and waits for its reply, which may be nil.
func (n *Node) Call(ctx context.Context, to peridotusher.RouterID, kind Kind, msg, reply proto.Message) error {
	n.once.Do(n.init)
	body, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	var answer []byte
	err = n.over(ctx, to, func(s *session) error {
		got, err := s.call(ctx, kind, body)
		answer = got
		return err
	})
	if err != nil || reply == nil {
		return err
	}
	return proto.Unmarshal(answer, reply)
}

// Notify sends a message that has no reply. It returns once the message is
// queued.
func (n *Node) Notify(ctx context.Context, to peridotusher.RouterID, kind Kind, msg proto.Message) error {
	n.once.Do(n.init)
	body, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	return n.over(ctx, to, func(s *session) error {
		return s.send(ctx, &Envelope{Kind: uint32(kind), Body: body})
	})
}

// session returns the session with a router, or a LinkError at once.
func (n *Node) session(to peridotusher.RouterID) (*session, error) {
	if s, ok := n.sessions.get(to); ok {
		return s, nil
	}
	var last error
	if m, ok := n.Members.Get(to); ok {
		last = n.dials.lastError(m.Address())
	}
	return nil, &LinkError{router: to, err: last}
}

// Counts returns the traffic since the start.
func (n *Node) Counts() Counts {
	n.once.Do(n.init)
	return n.traffic.counts()
}
