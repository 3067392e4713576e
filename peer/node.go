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
	defaultHeartbeat         = 500 * time.Millisecond
	defaultWorkers           = 16
	defaultTimeoutHeartbeats = 4 // SuspectTimeout, in intervals of heartbeats
	defaultIdle              = 10 * time.Second
)

// HandlerFunc handles one message and returns the body of its reply. The context
// ends with the time that the caller left for the call.
type HandlerFunc func(ctx context.Context, from peridotusher.RouterID, body []byte) ([]byte, error)

// LoadSource provides the loads of the engines that this router owns.
type LoadSource interface {
	Loads() []peridotusher.EngineLoad
}

// LoadSink receives the loads of the engines that another router owns.
type LoadSink interface {
	SetLoads(from peridotusher.RouterID, loads []peridotusher.EngineLoad)
}

// RevisionSource provides the configuration revision in force.
type RevisionSource interface {
	Revision() uint64
}

// Node manages this router's connections to the other routers. Its exported
// fields are set before Run; Self, Listener and Members are required.
type Node struct {
	Self              peridotusher.Member
	Listener          net.Listener
	Members           *peridotusher.Members
	Permits           PermitHandler      // nil answers every request for a permit with an error
	Admission         AdmissionHandler   // nil ignores the notifications that it would handle
	LoadSource        LoadSource         // nil sends no loads
	LoadSink          LoadSink           // nil drops received loads
	RevisionSource    RevisionSource     // nil sends revision zero
	TLS               *Certificates      // nil connects without encryption
	AllowPlaintext    bool               // whether unencrypted TCP is allowed beyond loopback
	HeartbeatInterval time.Duration      // interval of ticks; heartbeats may skip ticks to save bytes
	SuspectTimeout    time.Duration      // silence that makes a router suspect, with a heartbeat every tick
	Clock             peridotusher.Clock // nil uses time.Now
	Log               logrus.FieldLogger // nil logs to the standard logger
	Workers           int                // workers for permit requests, and as many for other messages
	Seed              uint64             // seed of the backoff's jitter
	BytesPerSecond    int                // bytes per second that may be sent; zero for no limit
	FullMeshLimit     int                // most routers that form a full mesh; zero uses the default
	IdleTimeout       time.Duration      // time without use that closes a session dialled on demand
	Version           uint32             // protocol version, set by tests of upgrades; zero for the newest

	version, oldest uint32 // versions spoken and accepted, derived from Version if zero

	once         sync.Once
	handlers     map[Kind]HandlerFunc
	sessions     *sessionTable
	pending      pendingConns // accepted connections
	dials        *dialTable
	askPool      *pool
	pool         *pool
	traffic      *traffic
	group        *errgroup.Group
	dialRequests chan peridotusher.Member // members to dial because a message waits
	loads        *zoneLoads
}

// Handle sets the handler of a kind. It must be called before Run.
func (n *Node) Handle(kind Kind, h HandlerFunc) {
	n.once.Do(n.init)
	n.handlers[kind] = h
}

// init sets the defaults of empty fields and creates the internal state.
func (n *Node) init() {
	if n.HeartbeatInterval == 0 {
		n.HeartbeatInterval = defaultHeartbeat
	}
	if n.SuspectTimeout == 0 {
		n.SuspectTimeout = defaultTimeoutHeartbeats * n.HeartbeatInterval
	}
	if n.FullMeshLimit == 0 {
		n.FullMeshLimit = defaultFullMeshLimit
	}
	if n.IdleTimeout == 0 {
		n.IdleTimeout = defaultIdle
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
	n.dials = newDialTable(n.Clock, n.HeartbeatInterval, rand.New(rand.NewPCG(n.Seed, 0)))
	n.dialRequests = make(chan peridotusher.Member, maxDialRequests)
	n.loads = newZoneLoads()
	n.askPool = newPool(n.Workers)
	n.pool = newPool(n.Workers)
	n.traffic = newTraffic(newByteBudget(n.Clock, n.BytesPerSecond))
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

// Run accepts and dials connections until ctx ends. It closes the listener.
func (n *Node) Run(ctx context.Context) error {
	n.once.Do(n.init)
	group, ctx := errgroup.WithContext(ctx)
	n.group = group
	group.Go(func() error { return n.acceptConns(ctx) })
	group.Go(func() error { return n.runHeartbeats(ctx) })
	group.Go(func() error { return n.serveDialRequests(ctx) })
	for range n.Workers {
		group.Go(func() error { return n.askPool.run(ctx) })
		group.Go(func() error { return n.pool.run(ctx) })
	}
	group.Go(func() error {
		<-ctx.Done()
		n.sessions.closeAll()
		return n.Listener.Close()
	})
	return group.Wait()
}

// Call sends a message and waits for the reply. If reply is nil, it discards the
// reply's body.
func (n *Node) Call(ctx context.Context, to peridotusher.RouterID, kind Kind, msg, reply proto.Message) error {
	n.once.Do(n.init)
	body, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	var answer []byte
	err = n.withSession(ctx, to, func(s *session) error {
		received, err := s.call(ctx, kind, body)
		answer = received
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
	return n.withSession(ctx, to, func(s *session) error {
		return s.send(ctx, &Envelope{Kind: uint32(kind), Body: body})
	})
}

// session returns the session with a router, or a ConnectionError if there is none.
func (n *Node) session(to peridotusher.RouterID) (*session, error) {
	if s, ok := n.sessions.get(to); ok {
		return s, nil
	}
	var last error
	if m, ok := n.Members.Get(to); ok {
		last = n.dials.lastError(m.Address())
	}
	return nil, &ConnectionError{router: to, err: last}
}

// Counts returns the traffic since the node started.
func (n *Node) Counts() Counts {
	n.once.Do(n.init)
	return n.traffic.counts()
}
