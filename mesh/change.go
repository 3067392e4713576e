package mesh

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
)

const (
	// changeFan is the number of routers to which a router forwards a change of a replica
	// at once. As each receiver forwards it too, nearly all routers have it within a few
	// network delays; heartbeats carry it to the others.
	changeFan = 4
	// arrivalsAtOnce is the number of replicas that may be used from now on above which they
	// are not forwarded in that way: a first list, or a fetch, brings many that the others
	// already have. Departures are always forwarded, since requests to them have to end.
	arrivalsAtOnce = 16
	// changesPerDatagram keeps a datagram with changes below the usual size of a packet.
	changesPerDatagram = 12
)

// delegateFan is the number of routers that are asked at once to read the list of replicas
// on behalf of this one, delegateHops how many times the task is passed on by routers that
// cannot read it either.
const (
	delegateFan  = 3
	delegateHops = 2
)

// PublishChanges sends changes that this router has just learned to a few random routers,
// ahead of the next heartbeat.
func (n *Node) PublishChanges(changes []replicas.Entry) {
	urgent := urgentChanges(changes)
	if len(urgent) == 0 {
		return
	}
	others := sameFormat(n.members.alive())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), changeFan)]
	for part := range slices.Chunk(urgent, changesPerDatagram) {
		body := marshalChanges(part)
		for _, s := range others {
			n.call(s.Address, callChange, body)
		}
	}
}

// urgentChanges returns the changes to forward at once: all departures, and the arrivals if
// they are few.
func urgentChanges(changes []replicas.Entry) []replicas.Entry {
	departures := slices.DeleteFunc(slices.Clone(changes), func(e replicas.Entry) bool { return e.Usable() })
	if len(changes)-len(departures) > arrivalsAtOnce {
		return departures
	}
	return changes
}

// marshalChanges encodes a message with changes.
func marshalChanges(changes []replicas.Entry) []byte {
	var body []byte
	for _, e := range changes {
		body = appendBytes(body, changeEntry, marshalEntry(e))
	}
	return body
}

// The field numbers of a message with changes, and of a request to read the list.
const (
	changeEntry   protowire.Number = 1
	delegatedHops protowire.Number = 1
)

// readChanges decodes a message with changes.
func readChanges(data []byte) ([]replicas.Entry, error) {
	var changes []replicas.Entry
	err := eachField(data, func(n protowire.Number, _ uint64, raw []byte) error {
		if n != changeEntry {
			return nil
		}
		e, err := unmarshalEntry(raw)
		changes = append(changes, e)
		return err
	})
	return changes, err
}

// Delegate asks the next routers in the topic's rendezvous order to do a task that this one
// cannot do. hops is how many times the task was passed on before.
func (n *Node) Delegate(topic string, hops int) {
	if hops >= delegateHops {
		return
	}
	for _, address := range n.members.following(topic, delegateFan) {
		n.call(address, callDelegate, appendNumber(nil, delegatedHops, uint64(hops+1)))
	}
}

// readDelegation decodes how many times a task was passed on.
func readDelegation(data []byte) (hops int, err error) {
	err = eachField(data, func(n protowire.Number, v uint64, _ []byte) error {
		if n == delegatedHops {
			hops = int(min(v, delegateHops))
		}
		return nil
	})
	return hops, err
}

// following returns the addresses of the routers that follow this one in the topic's
// rendezvous order, which wraps around.
func (m *members) following(topic string, most int) []string {
	key := nameHash(topic)
	own := placing.Score(key, m.hash)
	type placed struct {
		after   uint64
		address string
	}
	var order []placed
	for _, s := range sameFormat(m.alive()) {
		if !s.stopping {
			order = append(order, placed{placing.Score(key, s.hash) - own, s.Address}) // wraps around
		}
	}
	slices.SortFunc(order, func(a, b placed) int { return cmp.Compare(a.after, b.after) })
	var out []string
	for _, p := range order[:min(len(order), most)] {
		out = append(out, p.address)
	}
	return out
}

// Place returns the router's place in the order for a topic, as heartbeats carry it: a
// smaller one comes before a larger one, and none is 0. Rank counts in the same order.
func (n *Node) Place(topic string) uint64 {
	const bits, placeBits = 64, 16
	return placing.Score(nameHash(topic), n.members.hash)>>(bits-placeBits) + 1
}
