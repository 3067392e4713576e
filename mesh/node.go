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
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/replicas"
)

// State is the router's state that a node sends to others and merges from them.
type State interface {
	// Fill sets all fields of the heartbeat that describe the router's state. The node sets
	// those of the membership.
	Fill(h *Heartbeat)
	// Merge applies the state in a heartbeat of another router. It must not retain the
	// heartbeat.
	Merge(h *Heartbeat)
	// Request returns the request for the state that this router lacks.
	Request(staleness Staleness) SyncRequest
	// Respond returns the state that another router requests.
	Respond(request SyncRequest) *SyncResponse
	// Apply applies state that was fetched from another router.
	Apply(response *SyncResponse) error
	// CacheHolders returns the replicas that hold the part (shared prompt prefix) with the
	// key, for a router that is about to use one of them.
	CacheHolders(key uint64) []placing.CacheHolder
	// RecordPlacements records placements of parts of which this router is an index owner.
	RecordPlacements(use placing.Event, placements []placing.Placement)
	// ApplyChanges applies changes of replicas that another router forwarded.
	ApplyChanges(changes []replicas.Entry)
	// ApplyQuarantine applies what another router learned about parts that crash replicas.
	ApplyQuarantine(u quarantine.Update)
	// ApplyLimits applies request rates of replicas that another router learned.
	ApplyLimits(limits []ratelimit.Statement)
	// HandleDelegation handles the request of a router that cannot read the list of replicas to
	// read it instead. hops is how many times the request was forwarded.
	HandleDelegation(hops int)
	// Compare returns what this router lacks of the other router's state.
	Compare(other Summary) Staleness
}

// Summary describes the state of another router as of its latest heartbeat; see Heartbeat for
// the fields.
type Summary struct {
	Router        string
	Configuration int64
	Digest        uint32
	Settled       bool
}

func (h *Heartbeat) summary() Summary {
	return Summary{Router: h.Name, Configuration: h.Configuration, Digest: h.Digest, Settled: h.Settled}
}

// Staleness is the kind of state that this router lacks and another one has.
type Staleness int

// The kinds of missing state, in rising order of urgency.
const (
	Fresh Staleness = iota
	// ReplicasDiffer means that the tables of replicas differ, possibly only until the next
	// heartbeats.
	ReplicasDiffer
	// PlacementsMissed means that this router missed placements that the other one sent.
	PlacementsMissed
	// ConfigurationOutdated means that the other router has a newer configuration.
	ConfigurationOutdated
)

// Log writes one log line for each event. It must not block.
type Log interface {
	Event(kind string, fields ...any)
}

// Node exchanges state with the other routers on behalf of one router. Its exported fields are
// set before Init is called.
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
	// configurationOutdated requests a check for a newer configuration, stale one for other
	// missing state.
	configurationOutdated chan struct{}
	stale                 chan struct{}
	round                 int // number of rounds of heartbeats sent
	// order holds the addresses of the other routers in an order that differs from router
	// to router, orderVersion the version of the membership list that it was computed from.
	order        []string
	orderVersion uint64

	// datagrams is the socket for heartbeats while Run runs.
	datagrams      atomic.Pointer[net.PacketConn]
	queries        pendingQueries
	pendingRepeats pendingRepeats

	traffic     traffic
	compression compressionCache
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

// AddMember adds a router that was discovered by other means than heartbeats. It counts as
// alive once a heartbeat from it is received.
func (n *Node) AddMember(m Member) { n.members.add(m) }

// RouterCount returns the number of known routers including this one.
func (n *Node) RouterCount() int { return n.members.count() }

// Alive returns the other routers that are alive.
func (n *Node) Alive() []Member {
	alive := n.members.alive()
	out := make([]Member, len(alive))
	for i, peer := range alive {
		out[i] = peer.Member
	}
	return out
}

// CountZone counts the routers of this router's availability zone. This router is counted in All
// only, since it calls CountZone while it stops.
func (n *Node) CountZone() ZoneCount { return n.members.zone() }

// Rank returns this router's position in the topic's rendezvous order, which all routers
// compute alike, among the routers that are alive and of its message format. Stopping routers
// come last.
func (n *Node) Rank(topic string) int { return n.members.rank(topic) }

// SortKey returns a hash of the topic and this router's name, by which to sort items: routers that
// process the same items then do so in different orders.
func (n *Node) SortKey(topic string) uint64 { return placing.Score(nameHash(topic), n.members.hash) }

// Join fetches the fleet's state right after the router's start, from the first seed that
// responds with any within joinTimeout.
func (n *Node) Join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var group errgroup.Group
	for _, seed := range *n.seeds.Load() {
		if seed == n.Self.Address {
			continue
		}
		group.Go(func() error {
			if response := n.fetchFrom(ctx, seed, PlacementsMissed); response != nil && response.hasState() {
				cancel() // one response is enough
			}
			return nil
		})
	}
	_ = group.Wait() // each fetch has logged its error
}

// Broadcast sends a round of heartbeats at once.
func (n *Node) Broadcast() { signal(n.broadcast) }

// signal wakes the reader of the channel without blocking. It has no effect if a signal is
// pending already.
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
