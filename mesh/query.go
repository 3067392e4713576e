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

// queryTimeout is the time-out of a query: it allows for a round trip between zones and for
// a router whose processor is busy for a moment.
const queryTimeout = 40 * time.Millisecond

// errNoAnswer is the error of a query that was not answered in time.
var errNoAnswer = errors.New("no answer in time")

// The field numbers of the messages in datagrams other than heartbeats.
const (
	callQuery protowire.Number = iota + 32
	callHolders
	callPlaced
	callChange
	callDelegate
	callAsk
	callReply
	callRelease
	callCancel
)

// The field numbers of a query and of its answer.
const (
	queryNumber protowire.Number = iota + 1
	queryKey
	queryHolders
)

// The field numbers of a report of placements.
const (
	placedUse protowire.Number = iota + 1
	placedPlacements
)

// holderNumbers is the number of integers beside the replica of a packed holder.
const holderNumbers = 2

// query is the query for the holders of the part with the key, or its answer.
type query struct {
	number  uint64 // the same in the answer
	key     uint64
	holders []placing.CacheHolder
}

// queries holds the pending queries of this router.
type queries struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]chan []placing.CacheHolder
}

// begin returns the number of a new query and the channel on which its answer arrives.
func (a *queries) begin() (number uint64, answer <-chan []placing.CacheHolder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open == nil {
		a.open = make(map[uint64]chan []placing.CacheHolder)
	}
	a.last++
	c := make(chan []placing.CacheHolder, 1)
	a.open[a.last] = c
	return a.last, c
}

// finish removes a pending query and delivers the answer if there is one.
func (a *queries) finish(number uint64, holders []placing.CacheHolder, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c, ok := a.open[number]; ok && answered {
		c <- holders
	}
	delete(a.open, number)
}

// CacheHolders returns the replicas that hold the part with the key, as its index owners
// know them: the second one is queried if the first one knows none or does not answer.
func (n *Node) CacheHolders(ctx context.Context, key uint64) []placing.CacheHolder {
	for _, k := range n.members.queryable(key) {
		holders, err := n.query(ctx, k, key)
		if err != nil {
			n.Log.Event("silent", "router", k.name, "error", err)
			n.members.markSilent(k.name)
			continue
		}
		if len(holders) > 0 {
			return holders
		}
	}
	return nil
}

// query queries one index owner, which may be this router.
func (n *Node) query(ctx context.Context, k indexOwner, key uint64) ([]placing.CacheHolder, error) {
	if k.address == "" {
		return n.State.CacheHolders(key), nil
	}
	number, answer := n.queries.begin()
	defer n.queries.finish(number, nil, false)
	n.call(k.address, callQuery, query{number: number, key: key}.marshal())
	n.traffic.queries.Add(1)
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case holders := <-answer:
		n.members.markAnswered(k.name)
		return holders, nil
	case <-ctx.Done():
		return nil, nil // the request has ended, which is no failure of the router
	case <-timer.C:
		n.traffic.unanswered.Add(1)
		return nil, errNoAnswer
	}
}

// PublishPlacements reports placements to the index owners of their parts. The second owner
// of a part does not receive placements at replicas that held the part before.
func (n *Node) PublishPlacements(use placing.Event, placements []placing.Placement) {
	byOwner := make(map[string][]placing.Placement)
	for _, p := range placements {
		for i, k := range n.members.indexOwners(p.Key) {
			if i == 0 || use != placing.SentToHolder {
				byOwner[k.address] = append(byOwner[k.address], p)
			}
		}
	}
	for address, owned := range byOwner {
		if address == "" {
			n.State.RecordPlacements(use, owned)
			continue
		}
		body := appendNumber(nil, placedUse, uint64(use))
		n.call(address, callPlaced, appendBytes(body, placedPlacements, packPlacements(owned)))
	}
}

// call sends a message of a kind in a datagram.
func (n *Node) call(address string, kind protowire.Number, body []byte) {
	n.sendDatagram(appendBytes(nil, kind, body), address)
}

// sendDatagram sends a datagram; it does nothing before Run, which sets the socket.
func (n *Node) sendDatagram(data []byte, address string) {
	if datagrams := n.datagrams.Load(); datagrams != nil {
		n.send(*datagrams, data, address)
	}
}

// receiveCall handles a datagram that is no heartbeat. It returns false for a heartbeat.
func (n *Node) receiveCall(data []byte, from net.Addr) (bool, error) {
	kind, _, size := protowire.ConsumeTag(data)
	if size < 0 || kind < callQuery || kind > callCancel {
		return false, nil
	}
	return true, eachField(data, func(kind protowire.Number, _ uint64, raw []byte) error {
		return n.applyCall(kind, raw, from)
	})
}

// applyCall handles one message of a datagram.
func (n *Node) applyCall(kind protowire.Number, raw []byte, from net.Addr) error {
	switch kind {
	case callPlaced:
		use, placements, err := readPlaced(raw)
		if err == nil {
			n.State.RecordPlacements(use, placements)
		}
		return err
	case callChange:
		changes, err := readChanges(raw)
		if err == nil {
			n.State.ApplyChanges(changes)
		}
		return err
	case callDelegate:
		hops, err := readDelegation(raw)
		if err == nil {
			n.State.Delegated(hops)
		}
		return err
	case callAsk, callReply, callRelease, callCancel:
		return n.receiveAdmission(kind, raw, from)
	}
	var q query
	if err := q.unmarshal(raw); err != nil {
		return err
	}
	if kind == callHolders {
		n.queries.finish(q.number, q.holders, true)
		return nil
	}
	n.call(from.String(), callHolders, query{number: q.number, holders: n.State.CacheHolders(q.key)}.marshal())
	return nil
}

// readPlaced decodes a report of placements.
func readPlaced(data []byte) (use placing.Event, placements []placing.Placement, err error) {
	err = eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case placedUse:
			use = placing.Event(v)
		case placedPlacements:
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
