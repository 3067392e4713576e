package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/placing"
)

// queryTimeout bounds the wait for the answer to a query. It allows for a round trip between zones
// and for a router whose processor is briefly busy.
const queryTimeout = 40 * time.Millisecond

// errQueryTimeout is returned by a query that was not answered within queryTimeout.
var errQueryTimeout = errors.New("query timed out")

// The kinds of messages in datagrams other than heartbeats: they are top-level field numbers
// distinct from those of a heartbeat.
const (
	messageQuery protowire.Number = iota + 32
	messageHolders
	messagePlacements
	messageChanges
	messageDelegation
	messageAdmissionRequest
	messageAdmissionReply
	messageRelease
	messageCancel
)

// The field numbers of a query and of its answer.
const (
	queryNumber protowire.Number = iota + 1
	queryKey
	queryHolders
)

// The field numbers of a report of placements.
const (
	placementsUse protowire.Number = iota + 1
	placementsList
)

// holderNumbers is the number of integers that follow the replica of a packed holder.
const holderNumbers = 2

// query is a query for the replicas that hold the part with the key, or its answer.
type query struct {
	number  uint64 // the same in the answer
	key     uint64
	holders []placing.CacheHolder
}

// pendingQueries holds the queries of this router that are not answered yet.
type pendingQueries struct {
	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan []placing.CacheHolder
}

// begin returns the number of a new query and the channel on which its answer arrives.
func (q *pendingQueries) begin() (number uint64, answer <-chan []placing.CacheHolder) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[uint64]chan []placing.CacheHolder)
	}
	q.lastNumber++
	c := make(chan []placing.CacheHolder, 1)
	q.pending[q.lastNumber] = c
	return q.lastNumber, c
}

// finish removes a pending query and delivers the answer if there is one.
func (q *pendingQueries) finish(number uint64, holders []placing.CacheHolder, answered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c, ok := q.pending[number]; ok && answered {
		c <- holders
	}
	delete(q.pending, number)
}

// CacheHolders returns the replicas that hold the part (shared prompt prefix) with the key, as
// recorded by its index owners. The second owner is queried if the first one knows none or does
// not answer.
func (n *Node) CacheHolders(ctx context.Context, key uint64) []placing.CacheHolder {
	for _, owner := range n.members.queryable(key) {
		holders, err := n.query(ctx, owner, key)
		if err != nil {
			n.Log.Event("silent", "router", owner.name, "error", err)
			n.members.markUnanswered(owner.name)
			continue
		}
		if len(holders) > 0 {
			return holders
		}
	}
	return nil
}

// query queries one index owner, which may be this router itself.
func (n *Node) query(ctx context.Context, owner indexOwner, key uint64) ([]placing.CacheHolder, error) {
	if owner.address == "" {
		return n.State.CacheHolders(key), nil
	}
	number, answer := n.queries.begin()
	defer n.queries.finish(number, nil, false)
	n.sendMessage(owner.address, messageQuery, query{number: number, key: key}.marshal())
	n.traffic.queries.Add(1)
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case holders := <-answer:
		n.members.markAnswered(owner.name)
		return holders, nil
	case <-ctx.Done():
		return nil, nil // the request was canceled, which is no failure of the queried router
	case <-timer.C:
		n.traffic.unanswered.Add(1)
		return nil, errQueryTimeout
	}
}

// PublishPlacements reports placements to the index owners of their parts. Placements at replicas
// that already held the part are reported to the first owner only.
func (n *Node) PublishPlacements(use placing.Event, placements []placing.Placement) {
	byOwner := make(map[string][]placing.Placement)
	for _, p := range placements {
		for i, owner := range n.members.indexOwners(p.Key) {
			if i == 0 || use != placing.SentToHolder {
				byOwner[owner.address] = append(byOwner[owner.address], p)
			}
		}
	}
	for address, owned := range byOwner {
		if address == "" {
			n.State.RecordPlacements(use, owned)
			continue
		}
		body := appendNumber(nil, placementsUse, uint64(use))
		n.sendMessage(address, messagePlacements, appendBytes(body, placementsList, packPlacements(owned)))
	}
}

// sendMessage sends a message of a kind in a datagram of its own.
func (n *Node) sendMessage(address string, kind protowire.Number, body []byte) {
	n.sendDatagram(appendBytes(nil, kind, body), address)
}

// sendDatagram sends a datagram; it does nothing before Run, which sets the socket.
func (n *Node) sendDatagram(data []byte, address string) {
	if datagrams := n.datagrams.Load(); datagrams != nil {
		n.sendTo(*datagrams, data, address)
	}
}

// receiveMessages handles a datagram other than a heartbeat. It returns false for a heartbeat.
func (n *Node) receiveMessages(data []byte, from net.Addr) (bool, error) {
	first, _, size := protowire.ConsumeTag(data)
	if size < 0 || first < messageQuery || first > messageCancel {
		return false, nil
	}
	return true, eachField(data, func(kind protowire.Number, _ uint64, raw []byte) error {
		return n.handleMessage(kind, raw, from)
	})
}

// handleMessage handles one message of a datagram that is no heartbeat.
func (n *Node) handleMessage(kind protowire.Number, raw []byte, from net.Addr) error {
	switch kind {
	case messagePlacements:
		use, placements, err := unmarshalPlacements(raw)
		if err == nil {
			n.State.RecordPlacements(use, placements)
		}
		return err
	case messageChanges:
		return n.applyChanges(raw)
	case messageDelegation:
		hops, err := unmarshalDelegation(raw)
		if err == nil {
			n.State.HandleDelegation(hops)
		}
		return err
	case messageAdmissionRequest, messageAdmissionReply, messageRelease, messageCancel:
		return n.receiveAdmission(kind, raw, from)
	}
	var q query
	if err := q.unmarshal(raw); err != nil {
		return err
	}
	if kind == messageHolders {
		n.queries.finish(q.number, q.holders, true)
		return nil
	}
	n.sendMessage(from.String(), messageHolders, query{number: q.number, holders: n.State.CacheHolders(q.key)}.marshal())
	return nil
}

// applyChanges applies a message with changes.
func (n *Node) applyChanges(raw []byte) error {
	changes, err := unmarshalChanges(raw)
	if err != nil {
		return err
	}
	if len(changes.entries) > 0 {
		delayEntries(changes.entries, DatagramDelay)
		n.State.ApplyChanges(changes.entries)
	}
	if !changes.quarantine.IsEmpty() {
		n.State.ApplyQuarantine(changes.quarantine)
	}
	if len(changes.limits) > 0 {
		n.State.ApplyLimits(changes.limits)
	}
	return nil
}

// unmarshalPlacements decodes a report of placements.
func unmarshalPlacements(data []byte) (use placing.Event, placements []placing.Placement, err error) {
	err = eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case placementsUse:
			use = placing.Event(v)
		case placementsList:
			unpacked, err := unpackPlacements(raw)
			placements = unpacked
			return err
		}
		return nil
	})
	return use, placements, err
}

func (q query) marshal() []byte {
	out := appendNumber(nil, queryNumber, q.number)
	out = appendNumber(out, queryKey, q.key)
	var packed []byte
	for _, h := range q.holders {
		packed = protowire.AppendFixed32(packed, h.Replica)
		packed = protowire.AppendVarint(packed, uint64(h.Recent))
		packed = protowire.AppendVarint(packed, protowire.EncodeBool(h.Reading))
	}
	return appendBytes(out, queryHolders, packed)
}

func (q *query) unmarshal(data []byte) error {
	return eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case queryNumber:
			q.number = v
		case queryKey:
			q.key = v
		case queryHolders:
			var v [holderNumbers]uint64
			return eachPacked(raw, v[:], func(replica uint32) {
				q.holders = append(q.holders, placing.CacheHolder{Replica: replica, Recent: int(v[0]), Reading: v[1] != 0})
			})
		}
		return nil
	})
}
