package mesh

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
)

const (
	// beatEvery is the time between two rounds of beats.
	beatEvery = 250 * time.Millisecond
	// beatFan is the number of routers that get a beat in a round; a larger
	// fleet is covered in several rounds.
	beatFan = 8
	// spreadSurplus is how many beats a router gets on average once news is taken to
	// have reached nearly all: some get several, and some none.
	spreadSurplus = 2
	// knownEvery is the number of rounds between two beats that name other
	// routers while some router knows fewer, knownMost how many they name.
	knownEvery = 7
	knownMost  = 8
	// knownSeldom is the number of rounds between two such beats when all routers
	// say that they know as many.
	knownSeldom = 8 * knownEvery
	// welcomeRatio is how many times as many routers a router knows that names
	// some to another one at once, welcomeMost how many.
	welcomeRatio = 2
	welcomeMost  = 32
	// largestBeat is the size of the buffer for a datagram, in bytes.
	largestBeat = 16 << 10
)

// State is what a node tells and takes in.
type State interface {
	// Fill sets everything of the beat but the member and the known routers.
	Fill(b *Beat)
	// Hear takes a beat of another router in. It must not keep the beat.
	Hear(b *Beat)
	// Want returns what to ask another router for that has what this one lacks.
	Want(lack Lack) Want
	// Answer returns the state that another router wants.
	Answer(want Want) *Answer
	// Take takes the state of another router in.
	Take(a *Answer) error
	// Holders returns the replicas that hold the part with the key, for a router that is
	// about to use one of them.
	Holders(key uint64) []placing.Lent
	// Placed takes in where prompts with parts went of which this router keeps track.
	Placed(use placing.Use, placements []placing.Placement)
	// Lacks returns what the other router has that this one lacks.
	Lacks(other Summary) Lack
}

// Summary says how much another router knows, as its latest beat told.
type Summary struct {
	Router        string
	Configuration int64
	Digest        uint64
	Settled       bool
}

func (b *Beat) summary() Summary {
	return Summary{Router: b.Name, Configuration: b.Configuration, Digest: b.Digest, Settled: b.Settled}
}

// Lack is what a router lacks of another one's state.
type Lack int

// What may be lacking, from what can wait longest.
const (
	Nothing Lack = iota
	// Different replicas are known, maybe for a moment only.
	Different
	// Behind are routers that missed placements.
	Behind
	// Newer is a configuration that has to be in force soon.
	Newer
)

// Log takes one line for each change of belief. It must not block.
type Log interface {
	Event(kind string, fields ...any)
}

// Node is a router's place in the mesh. Its fields are set before Run.
type Node struct {
	Self  Member
	State State
	Clock peridotusher.Clock
	Log   Log

	members *members
	seeds   atomic.Pointer[[]string]
	// news asks for a round of beats at once.
	news chan struct{}
	// newer and lacking ask for a look at what others know: for a configuration, and
	// for anything.
	newer   chan struct{}
	lacking chan struct{}
	round   int
	// order holds the addresses of the other routers of a version, in an order of the
	// router's own.
	order   []string
	ordered uint64

	// datagrams is the socket for beats while Run runs.
	datagrams atomic.Pointer[net.PacketConn]
	asking    asking

	traffic traffic
	packer  packer
}

// Init prepares the node; it must be called before any other method.
func (n *Node) Init() {
	n.members = newMembers(n.Self, n.Clock)
	n.news = make(chan struct{}, 1)
	n.newer = make(chan struct{}, 1)
	n.lacking = make(chan struct{}, 1)
	n.seeds.Store(&[]string{})
}

// SetSeeds sets the addresses of routers that may be there.
func (n *Node) SetSeeds(addresses []string) { n.seeds.Store(&addresses) }

// Know adds a router that another source told of; it counts as alive once it is heard.
func (n *Node) Know(m Member) { n.members.know(m) }

// Routers returns the number of routers that share in the fleet's sums.
func (n *Node) Routers() int { return n.members.count() }

// Alive returns the other routers that were heard lately.
func (n *Node) Alive() []Member {
	alive := n.members.alive()
	out := make([]Member, len(alive))
	for i, s := range alive {
		out[i] = s.Member
	}
	return out
}

// Zone counts the routers of the own availability zone; the own one, which asks
// because it stops, is in All only.
func (n *Node) Zone() ZoneCount { return n.members.zone() }

// Rank returns the router's place among the living ones in an order that all of
// them compute alike for the topic; stopping routers come last, those of another form
// of beats are left out.
func (n *Node) Rank(topic string) int {
	return n.members.rank(topic)
}

// Order is the router's place in an order of its own for the topic, by which it
// goes through things that all routers go through.
func (n *Node) Order(topic string) uint64 { return placing.Score(nameHash(topic), n.members.hash) }

// Join takes over the state of the first seed that answers within a moment and knows
// something, so that a router that starts knows at once what the others know.
func (n *Node) Join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	var group errgroup.Group
	for _, seed := range *n.seeds.Load() {
		if seed == n.Self.Address {
			continue
		}
		group.Go(func() error {
			if a := n.fetchFrom(ctx, seed, Behind); a != nil && a.tells() {
				cancel() // one is enough
			}
			return nil
		})
	}
	_ = group.Wait() // each fetch has logged its error
}

// Tell sends a round of beats at once.
func (n *Node) Tell() { signal(n.news) }

// signal wakes the reader of the channel, which may be awake already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends and receives beats and serves sessions until ctx ends.
func (n *Node) Run(ctx context.Context, datagrams net.PacketConn, l net.Listener) error {
	n.datagrams.Store(&datagrams)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return errors.CombineErrors(datagrams.Close(), l.Close())
	})
	group.Go(func() error { return n.receive(ctx, datagrams) })
	group.Go(func() error { return n.beat(ctx, datagrams) })
	group.Go(func() error { return n.serve(ctx, l) })
	group.Go(func() error { return n.catchUp(ctx) })
	return group.Wait()
}

// coverTime is the time in which every other router gets a beat.
func coverTime(others int) time.Duration {
	rounds := (others + beatFan - 1) / beatFan
	return time.Duration(max(rounds, 1)) * beatEvery
}

// CoverTime is the time in which every other router gets a beat.
func (n *Node) CoverTime() time.Duration { return coverTime(n.members.count() - 1) }

// SpreadTime is the time in which news reaches nearly all routers: in each round,
// each router that has heard tells beatFan others.
func (n *Node) SpreadTime() time.Duration {
	rounds := 0
	for told := 1; told < spreadSurplus*n.members.count(); told *= beatFan + 1 {
		rounds++
	}
	return time.Duration(rounds) * beatEvery
}

// beat sends a round of beats at regular times.
func (n *Node) beat(ctx context.Context, datagrams net.PacketConn) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-n.news:
		}
		n.sendRound(datagrams)
		timer.Reset(beatEvery)
	}
}

func (n *Node) sendRound(datagrams net.PacketConn) {
	b := n.fill()
	n.traffic.rounds.Add(1)
	n.round++
	if n.round%n.knownRounds() == 1 {
		b.Known = n.introductions(knownMost)
	}
	data := b.marshal()
	for _, address := range n.targets() {
		n.send(datagrams, data, address)
	}
}

// knownRounds is the number of rounds between two beats that name other routers.
func (n *Node) knownRounds() int {
	if n.members.agree() {
		return knownSeldom
	}
	return knownEvery
}

// fill returns a beat of this moment.
func (n *Node) fill() *Beat {
	b := &Beat{Member: n.Self, Routers: n.members.count(), Format: format}
	n.State.Fill(b)
	return b
}

func (n *Node) send(datagrams net.PacketConn, data []byte, address string) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		_, err = datagrams.WriteTo(data, to)
		n.traffic.beat(len(data))
	}
	if err != nil {
		n.Log.Event("peer", "address", address, "error", err)
	}
}

// introductions returns some of the living routers, at most limit.
func (n *Node) introductions(limit int) []Member {
	alive := n.Alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(len(alive), limit)]
}

// welcome returns a beat for the sender of b that names many routers, nil if it
// knows enough of them or does not say how many.
func (n *Node) welcome(b *Beat) *Beat {
	if b.Routers == 0 || b.Routers*welcomeRatio > n.members.count() {
		return nil
	}
	reply := n.fill()
	reply.Known = n.introductions(welcomeMost)
	return reply
}

// targets returns the addresses of this round: of a large fleet the next part, and
// the seeds now and then, since they may come back.
func (n *Node) targets() []string {
	all := roundOf(n.others(), n.round)
	if n.round%knownEvery == 1 || len(all) == 0 {
		for _, seed := range *n.seeds.Load() {
			if seed != n.Self.Address && !slices.Contains(all, seed) {
				all = append(all, seed)
			}
		}
	}
	return all
}

// roundOf returns those of all others that get a beat in a round: in a large fleet the
// next part of them.
func roundOf[T any](all []T, round int) []T {
	if len(all) <= beatFan {
		return slices.Clone(all)
	}
	start := round * beatFan % len(all)
	return slices.Concat(all[start:], all[:start])[:beatFan]
}

// others returns the addresses of the other routers in the router's own order, which
// is made anew only when they change. The slice must not be changed.
func (n *Node) others() []string {
	if version := n.members.forget(); version != n.ordered {
		n.order, n.ordered = n.ownOrder(n.members.addresses()), version
	}
	return slices.Clip(n.order)
}

// ownOrder returns the addresses in an order of the router's own, so that routers
// which started together do not tell the same ones in a round.
func (n *Node) ownOrder(addresses []string) []string {
	places := make(map[string]uint64, len(addresses))
	for _, a := range addresses {
		places[a] = placing.Score(n.members.hash, nameHash(a))
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(places[a], places[b]) })
	return addresses
}

// receive takes beats in until the socket is closed.
func (n *Node) receive(ctx context.Context, datagrams net.PacketConn) error {
	buf := make([]byte, largestBeat)
	for {
		size, from, err := datagrams.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			n.Log.Event("peer", "error", err)
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "receive beats")
			}
			continue
		}
		n.traffic.heard.Add(1)
		if call, err := n.hearCall(buf[:size], from); call {
			if err != nil {
				n.Log.Event("peer", "error", err)
			}
			continue
		}
		var b Beat
		if err := b.unmarshal(buf[:size]); err != nil {
			n.Log.Event("peer", "error", err)
			continue
		}
		b.Address = from.String() // a router sends from where it is reached
		if !n.members.hear(&b) {
			continue
		}
		if reply := n.welcome(&b); reply != nil {
			n.send(datagrams, reply.marshal(), b.Address)
		}
		if b.Format != format {
			continue
		}
		n.State.Hear(&b)
		switch n.State.Lacks(b.summary()) {
		case Nothing:
		case Newer:
			signal(n.newer)
		default:
			signal(n.lacking)
		}
	}
}
