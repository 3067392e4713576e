package mesh

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/replicas"
)

const (
	// changeFanout is the number of routers to which a router forwards a change of a replica
	// at once. As each receiver forwards it too, nearly all routers have it within a few
	// network delays; heartbeats carry it to the others.
	changeFanout = 4
	// maxUrgentArrivals is the number of newly usable replicas above which these are left to
	// heartbeats: the first read of the list, or a fetch, yields many that the other routers
	// already know. Departures are always forwarded, since requests to those replicas have to
	// end.
	maxUrgentArrivals = 16
	// maxChangesPerDatagram keeps a datagram with changes below the usual size of a packet.
	maxChangesPerDatagram = 12
)

// delegateFanout is the number of routers to which this one delegates the read of the list of
// replicas at once, maxDelegateHops how many times the task is forwarded by routers that cannot
// read it either.
const (
	delegateFanout  = 3
	maxDelegateHops = 2
)

// PublishChanges sends changes of replicas that this router has just learned to a few random
// routers, ahead of the next heartbeat.
func (n *Node) PublishChanges(changes []replicas.Entry) {
	urgent := urgentChanges(changes)
	if len(urgent) == 0 {
		return
	}
	peers := n.forwardTargets()
	for chunk := range slices.Chunk(urgent, maxChangesPerDatagram) {
		n.sendChanges(peers, marshalChanges(chunk))
	}
}

// forwardTargets returns the random routers to which a change is forwarded.
func (n *Node) forwardTargets() []*member {
	others := sameFormat(n.members.alive())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), changeFanout)]
}

// sendChanges sends a message with changes to some routers.
func (n *Node) sendChanges(peers []*member, body []byte) {
	for _, peer := range peers {
		n.sendMessage(peer.Address, messageChanges, body)
	}
}

// urgentChanges returns the changes to forward at once: all departures, and the arrivals if
// there are at most maxUrgentArrivals.
func urgentChanges(changes []replicas.Entry) []replicas.Entry {
	departures := slices.DeleteFunc(slices.Clone(changes), func(e replicas.Entry) bool { return e.Usable() })
	if len(changes)-len(departures) > maxUrgentArrivals {
		return departures
	}
	return changes
}

// marshalChanges encodes a message with changes of replicas.
func marshalChanges(changes []replicas.Entry) []byte {
	var body []byte
	for _, e := range changes {
		body = appendBytes(body, changeEntry, marshalEntry(e))
	}
	return body
}

// The field numbers of a message with changes.
const (
	changeEntry protowire.Number = iota + 1
	changeCrash
	changeSound
	changeLimit
)

// delegatedHops is the field number of a delegated task.
const delegatedHops protowire.Number = 1

// changes is a message with what a router has just learned.
type changes struct {
	entries    []replicas.Entry
	quarantine quarantine.Update
	limits     []ratelimit.Statement
}

// unmarshalChanges decodes a message with changes.
func unmarshalChanges(data []byte) (changes, error) {
	var out changes
	err := eachField(data, func(n protowire.Number, _ uint64, raw []byte) error {
		switch n {
		case changeEntry:
			e, err := unmarshalEntry(raw)
			out.entries = append(out.entries, e)
			return err
		case changeCrash:
			c, err := unmarshalCrash(raw)
			out.quarantine.Crashes = append(out.quarantine.Crashes, c)
			return err
		case changeSound:
			s, err := unmarshalSound(raw)
			out.quarantine.Sound = append(out.quarantine.Sound, s)
			return err
		case changeLimit:
			s, err := unmarshalLimit(raw)
			out.limits = append(out.limits, s)
			return err
		}
		return nil
	})
	return out, err
}

// Delegate requests the next routers in the topic's rendezvous order to perform a task that this
// one cannot. hops is how many times the task was forwarded before.
func (n *Node) Delegate(topic string, hops int) {
	if hops >= maxDelegateHops {
		return
	}
	for _, address := range n.members.nextInOrder(topic, delegateFanout) {
		n.sendMessage(address, messageDelegation, appendNumber(nil, delegatedHops, uint64(hops+1)))
	}
}

// unmarshalDelegation decodes how many times a task was forwarded.
func unmarshalDelegation(data []byte) (hops int, err error) {
	err = eachField(data, func(n protowire.Number, v uint64, _ []byte) error {
		if n == delegatedHops {
			hops = int(min(v, maxDelegateHops))
		}
		return nil
	})
	return hops, err
}

// nextInOrder returns the addresses of the routers that follow this one in the topic's
// rendezvous order, which wraps around.
func (m *members) nextInOrder(topic string, limit int) []string {
	key := nameHash(topic)
	own := placing.Score(key, m.hash)
	type candidate struct {
		distance uint64
		address  string
	}
	var order []candidate
	for _, peer := range sameFormat(m.alive()) {
		if !peer.stopping {
			order = append(order, candidate{placing.Score(key, peer.hash) - own, peer.Address}) // wraps around
		}
	}
	slices.SortFunc(order, func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) })
	var out []string
	for _, p := range order[:min(len(order), limit)] {
		out = append(out, p.address)
	}
	return out
}

// RendezvousScore returns the router's score in the topic's rendezvous order, shortened to 16 bits for
// heartbeats: routers with a smaller one come first. It is never 0. Rank is the position in the
// same order.
func (n *Node) RendezvousScore(topic string) uint64 {
	const bits, placeBits = 64, 16
	return placing.Score(nameHash(topic), n.members.hash)>>(bits-placeBits) + 1
}
