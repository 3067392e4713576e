package mesh

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
)

// State is the router's state that a node sends to others and merges from them.
type State interface {
	// Fill sets everything of the heartbeat but the member and the known routers.
	Fill(b *Heartbeat)
	// Merge merges a heartbeat of another router. It must not retain the heartbeat.
	Merge(b *Heartbeat)
	// Request returns the request for the state that this router lacks.
	Request(staleness Staleness) SyncRequest
	// Respond returns the state that another router requests.
	Respond(request SyncRequest) *SyncResponse
	// Apply merges the state that was fetched from another router.
	Apply(a *SyncResponse) error
	// Holders returns the replicas that hold the part with the key, for a router that is
	// about to use one of them.
	CacheHolders(key uint64) []placing.CacheHolder
	// RecordPlacements records placements of parts of which this router is an index owner.
	RecordPlacements(use placing.Event, placements []placing.Placement)
	// ApplyChanges merges changes of replicas that another router forwarded.
	ApplyChanges(changes []replicas.Entry)
	// Delegated handles a request of another router, which cannot read the list of
	// replicas, to read it. hops is how many times the request was passed on.
	Delegated(hops int)
	// Compare returns what this router lacks of the other router's state.
	Compare(other Summary) Staleness
}

// Summary describes the state of another router as of its latest heartbeat.
type Summary struct {
	Router        string
	Configuration int64
	Digest        uint32
	Settled       bool
}

func (b *Heartbeat) summary() Summary {
	return Summary{Router: b.Name, Configuration: b.Configuration, Digest: b.Digest, Settled: b.Settled}
}

// Staleness is what a router lacks of another one's state.
type Staleness int

// The kinds of missing state, in rising order of urgency.
const (
	Fresh Staleness = iota
	// ReplicasDiffer means that the tables of replicas differ, maybe for a moment only.
	ReplicasDiffer
	// PlacementsMissed means that this router missed placements.
	PlacementsMissed
	// ConfigurationOutdated means that the other router has a newer configuration.
	ConfigurationOutdated
)

// Log writes one line for each event. It must not block.
type Log interface {
	Event(kind string, fields ...any)
}

// Node is a router's place in the mesh. Its fields are set before Run.
type Node struct {
	Self  Member
	State State
	// Admission handles admission messages; nil ignores them.
	Admission Admission
	Clock     peridotusher.Clock
	Log       Log

	members *members
	started time.Time
	seeds   atomic.Pointer[[]string]
	// broadcast requests a round of heartbeats at once.
	broadcast chan struct{}
	// configurationOutdated requests a check for a newer configuration, stale one for any
	// missing state.
	configurationOutdated chan struct{}
	stale                 chan struct{}
	round                 int
	// order holds the addresses of the other routers in an order that differs from router
	// to router, ordered the version of the membership list that it was built from.
	order   []string
	ordered uint64

	// datagrams is the socket for heartbeats while Run runs.
	datagrams atomic.Pointer[net.PacketConn]
	queries   queries
	reminders reminders

	traffic traffic
	packer  packer
}

// Init prepares the node; it must be called before any other method.
func (n *Node) Init() {
	n.members = newMembers(n.Self, n.Clock)
	n.started = n.Clock.Now()
	n.broadcast = make(chan struct{}, 1)
	n.configurationOutdated = make(chan struct{}, 1)
	n.stale = make(chan struct{}, 1)
	n.seeds.Store(&[]string{})
}

// SetSeeds sets the addresses of routers to join. Duplicates are removed.
func (n *Node) SetSeeds(addresses []string) {
	seeds := slices.Clone(addresses)
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	n.seeds.Store(&seeds)
}

// AddMember adds a router that was discovered otherwise; it counts as alive once a heartbeat
// of it is received.
func (n *Node) AddMember(m Member) { n.members.add(m) }

// Routers returns the number of known routers including this one.
func (n *Node) Routers() int { return n.members.count() }

// Alive returns the other routers that are alive.
func (n *Node) Alive() []Member {
	alive := n.members.alive()
	out := make([]Member, len(alive))
	for i, s := range alive {
		out[i] = s.Member
	}
	return out
}

// Zone counts the routers of this router's availability zone. This router is in All only,
// since it asks because it stops.
func (n *Node) Zone() ZoneCount { return n.members.zone() }

// Rank returns this router's place in the topic's rendezvous order, which all routers compute
// alike, among the routers that are alive and of its message format. Stopping routers come
// last.
func (n *Node) Rank(topic string) int { return n.members.rank(topic) }

// Order returns a number that differs from router to router for the topic, so that routers
// that process the same items do so in different orders.
func (n *Node) Order(topic string) uint64 { return placing.Score(nameHash(topic), n.members.hash) }

// Join fetches the state from the first seed that answers within joinTime and has any, so
// that a router has the fleet's state right after its start.
func (n *Node) Join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	var group errgroup.Group
	for _, seed := range *n.seeds.Load() {
		if seed == n.Self.Address {
			continue
		}
		group.Go(func() error {
			if a := n.fetchFrom(ctx, seed, PlacementsMissed); a != nil && a.hasState() {
				cancel() // one is enough
			}
			return nil
		})
	}
	_ = group.Wait() // each fetch has logged its error
}

// Broadcast sends a round of heartbeats at once.
func (n *Node) Broadcast() { signal(n.broadcast) }

// signal wakes the reader of the channel without blocking; a signal may be pending already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends and receives heartbeats and serves sessions until ctx ends.
func (n *Node) Run(ctx context.Context, datagrams net.PacketConn, l net.Listener) error {
	n.datagrams.Store(&datagrams)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return errors.CombineErrors(datagrams.Close(), l.Close())
	})
	group.Go(func() error { return n.receive(ctx, datagrams) })
	group.Go(func() error { return n.sendHeartbeats(ctx, datagrams) })
	group.Go(func() error { return n.serve(ctx, l) })
	group.Go(func() error { return n.catchUp(ctx) })
	return group.Wait()
}
