package mesh

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/placing"
)

const (
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatFanout is the number of routers to which a heartbeat is sent in a round. A
	// larger fleet is covered in several rounds.
	heartbeatFanout = 8
	// spreadRedundancy is how many heartbeats with an update each router has received on
	// average when nearly all routers have it: some received several, and some none.
	spreadRedundancy = 2
	// minKnownInterval is the number of rounds between two heartbeats that list other
	// routers while some router knows fewer than this one, maxKnownSent how many they list.
	minKnownInterval = 7
	maxKnownSent     = 8
	// maxKnownInterval is the number of rounds between two such heartbeats when all routers
	// report that they know as many as this one.
	maxKnownInterval = 8 * minKnownInterval
	// newcomerRatio is how many times as many routers as the sender of a heartbeat this
	// router has to know to reply with a list of some, maxKnownToNewcomer the length of that
	// list.
	newcomerRatio      = 2
	maxKnownToNewcomer = 32
	// maxDatagramSize is the size of the buffer for a datagram, in bytes.
	maxDatagramSize = 16 << 10
)

// coverTime is the time in which a router sends a heartbeat to each of the others.
func coverTime(others int) time.Duration {
	rounds := (others + heartbeatFanout - 1) / heartbeatFanout
	return time.Duration(max(rounds, 1)) * heartbeatInterval
}

// CoverTime is the time in which this router sends a heartbeat to every other one.
func (n *Node) CoverTime() time.Duration { return coverTime(n.members.count() - 1) }

// SpreadTime is the time in which an update reaches nearly all routers: in each round, each
// router that has it sends it to heartbeatFanout others.
func (n *Node) SpreadTime() time.Duration {
	rounds := 0
	for reached := 1; reached < spreadRedundancy*n.members.count(); reached *= heartbeatFanout + 1 {
		rounds++
	}
	return time.Duration(rounds) * heartbeatInterval
}

// sendHeartbeats sends a round of heartbeats at regular intervals, and at once on Broadcast.
func (n *Node) sendHeartbeats(ctx context.Context, datagrams net.PacketConn) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-n.broadcast:
		}
		n.sendRound(datagrams)
		timer.Reset(heartbeatInterval)
	}
}

// sendRound sends a heartbeat to the routers of the next round.
func (n *Node) sendRound(datagrams net.PacketConn) {
	h := n.newHeartbeat()
	n.traffic.rounds.Add(1)
	n.round++
	if n.round%n.knownInterval() == 1 {
		h.Known = n.sampleAlive(maxKnownSent)
	}
	data := h.marshal()
	for _, address := range n.roundTargets() {
		n.sendTo(datagrams, data, address)
	}
}

// knownInterval is the number of rounds between two heartbeats that list other routers.
func (n *Node) knownInterval() int {
	if n.members.sizesAgree() {
		return maxKnownInterval
	}
	return minKnownInterval
}

// newHeartbeat returns a heartbeat with the current state.
func (n *Node) newHeartbeat() *Heartbeat {
	h := &Heartbeat{Member: n.Self, RouterCount: n.members.count(), Format: format}
	h.Uptime = max(n.Clock.Now().Sub(n.started), time.Millisecond)
	n.State.Fill(h)
	return h
}

func (n *Node) sendTo(datagrams net.PacketConn, data []byte, address string) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		_, err = datagrams.WriteTo(data, to)
		n.traffic.countDatagram(len(data))
	}
	if err != nil {
		n.Log.Event("peer", "address", address, "error", err)
	}
}

// sampleAlive returns a random choice of the routers that are alive, at most limit.
func (n *Node) sampleAlive(limit int) []Member {
	alive := n.Alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(len(alive), limit)]
}

// newcomerReply returns a heartbeat that lists many routers, to be sent to the sender of h; nil if
// the sender knows enough routers or does not report how many it knows.
func (n *Node) newcomerReply(h *Heartbeat) *Heartbeat {
	if h.RouterCount == 0 || h.RouterCount*newcomerRatio > n.members.count() {
		return nil
	}
	reply := n.newHeartbeat()
	reply.Known = n.sampleAlive(maxKnownToNewcomer)
	return reply
}

// roundTargets returns the addresses to which heartbeats are sent in this round: all other routers
// or, in a large fleet, the next section of them. From time to time the seeds are added, since
// ones that were removed from the membership list may have restarted.
func (n *Node) roundTargets() []string {
	all := roundMembers(n.orderedAddresses(), n.round)
	if n.round%minKnownInterval == 1 || len(all) == 0 {
		for _, seed := range *n.seeds.Load() {
			if seed != n.Self.Address && !slices.Contains(all, seed) {
				all = append(all, seed)
			}
		}
	}
	return all
}

// roundMembers returns the elements of all that get a heartbeat in a round: all of them or, if they
// are more than heartbeatFanout, the next section.
func roundMembers[T any](all []T, round int) []T {
	if len(all) <= heartbeatFanout {
		return slices.Clone(all)
	}
	start := round * heartbeatFanout % len(all)
	return slices.Concat(all[start:], all[:start])[:heartbeatFanout]
}

// orderedAddresses returns the addresses of the other routers in the order of sortByScore, which
// is computed only when the membership changes. The caller must not change the slice.
func (n *Node) orderedAddresses() []string {
	if version := n.members.removeSilent(); version != n.orderVersion {
		n.order, n.orderVersion = n.sortByScore(n.members.addresses()), version
	}
	return slices.Clip(n.order)
}

// sortByScore sorts the addresses in an order that differs from router to router, so that routers
// that started together do not send to the same ones in a round.
func (n *Node) sortByScore(addresses []string) []string {
	scores := make(map[string]uint64, len(addresses))
	for _, a := range addresses {
		scores[a] = placing.Score(n.members.hash, nameHash(a))
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(scores[a], scores[b]) })
	return addresses
}

// receive handles datagrams until the socket is closed.
func (n *Node) receive(ctx context.Context, datagrams net.PacketConn) error {
	buf := make([]byte, maxDatagramSize)
	for {
		size, from, err := datagrams.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			n.Log.Event("peer", "error", err)
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "receive datagrams")
			}
			continue
		}
		n.traffic.received.Add(1)
		if err := n.receiveDatagram(buf[:size], from); err != nil {
			n.Log.Event("peer", "address", from, "error", err)
		}
	}
}

// errPanic is returned for a message whose handling panicked.
var errPanic = errors.New("panic")

// recoverError converts a panic of the function that defers it into an error.
func recoverError(err *error) {
	if p := recover(); p != nil {
		*err = errors.Wrapf(errPanic, "%v", p)
	}
}

// receiveDatagram handles a datagram. It recovers from panics, since a datagram may come from
// anyone and must not end the process.
func (n *Node) receiveDatagram(data []byte, from net.Addr) (err error) {
	defer recoverError(&err)
	if handled, err := n.receiveMessages(data, from); handled {
		return err
	}
	var h Heartbeat
	if err := h.unmarshal(data); err != nil {
		return err
	}
	h.Address = from.String() // a router sends from the address that it listens on
	if !n.members.receive(&h) {
		return nil
	}
	if reply := n.newcomerReply(&h); reply != nil {
		n.sendDatagram(reply.marshal(), h.Address)
	}
	if h.Format != format {
		return nil
	}
	delayEntries(h.Changes, DatagramDelay)
	n.State.Merge(&h)
	switch n.State.Compare(h.summary()) {
	case Fresh:
	case ConfigurationOutdated:
		signal(n.configurationOutdated)
	default:
		signal(n.stale)
	}
	return nil
}
