package mesh

import (
	"math"
	"net"

	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/admission"
	"peridotusher.example/peridotusher/placing"
)

// Admission handles the admission messages that other routers send: requests for a slot at a
// replica, which a coordinator grants, and the replies. Its methods must not block.
type Admission interface {
	// Submit handles an admission request of another router.
	Submit(r admission.Request)
	// Receive handles a reply to an admission request of this router.
	Receive(reply admission.Reply)
	// Release frees the slot of a request of another router, which has ended.
	Release(ended EndedRequest, u admission.Usage)
	// Cancel withdraws a request of another router, or frees its slot.
	Cancel(ended EndedRequest)
}

// EndedRequest identifies a request that has ended or was withdrawn by its router.
type EndedRequest struct {
	Service, Router string
	Incarnation     int64
	ID              uint64
}

// FirstRouter returns the first router in the topic's rendezvous order, which all routers compute
// alike, among those that are alive, not stopping and of this router's message format. This
// router itself is included if own is set. self is whether it is the first one; ok is false if
// there is none.
func (n *Node) FirstRouter(topic string, own bool) (name string, self, ok bool) {
	return n.members.firstRouter(topic, own)
}

// firstRouter implements Node.FirstRouter.
func (m *members) firstRouter(topic string, own bool) (name string, self, ok bool) {
	key := nameHash(topic)
	lowest := uint64(math.MaxUint64)
	if own {
		name, self, ok, lowest = m.self.Name, true, true, placing.Score(key, m.hash)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, peer := range m.known {
		if peer.format != format || peer.stopping || !m.isAlive(peer, now) {
			continue
		}
		if score := placing.Score(key, peer.hash); score < lowest {
			name, self, ok, lowest = peer.Name, false, true, score
		}
	}
	return name, self, ok
}

// address returns the address of a router; "" if the router is not known.
func (m *members) address(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer, ok := m.known[name]; ok {
		return peer.Address
	}
	return ""
}

// SendAdmissionRequest sends an admission request of this router to a coordinator.
func (n *Node) SendAdmissionRequest(router string, r admission.Request) {
	r.Router, r.Incarnation = n.Self.Name, n.Self.Incarnation
	n.sendToCoordinator(router, messageAdmissionRequest, marshalRequest(r), nil)
}

// SendAdmissionReply sends a router the decision on its admission request.
func (n *Node) SendAdmissionReply(router string, reply admission.Reply) {
	if address := n.members.address(router); address != "" {
		n.sendMessage(address, messageAdmissionReply, marshalReply(reply))
	}
}

// Release notifies a coordinator that a request of this router has ended, so that it frees the slot.
func (n *Node) Release(router, service string, id uint64, u admission.Usage) {
	e := n.endedRequest(service, id)
	n.sendToCoordinator(router, messageRelease, marshalEnded(e, u), &e)
}

// Cancel notifies a coordinator that this router withdraws a request.
func (n *Node) Cancel(router, service string, id uint64) {
	e := n.endedRequest(service, id)
	n.sendToCoordinator(router, messageCancel, e.marshal(), &e)
}

// endedRequest returns the identification of a request of this router.
func (n *Node) endedRequest(service string, id uint64) EndedRequest {
	return EndedRequest{Service: service, Router: n.Self.Name, Incarnation: n.Self.Incarnation, ID: id}
}

// sendToCoordinator sends a message to the coordinator with the name. The same datagram repeats
// the end of the request that ended before, if any; see pendingRepeats. ends is the request that
// ends with this message, or nil. Nothing is sent to an unknown router.
func (n *Node) sendToCoordinator(name string, kind protowire.Number, body []byte, ends *EndedRequest) {
	address := n.members.address(name)
	if address == "" {
		return
	}
	repeat := n.pendingRepeats.swap(name, ends)
	n.sendDatagram(append(appendBytes(nil, kind, body), repeat...), address)
}

// receiveAdmission handles a message of a kind from messageAdmissionRequest to messageCancel.
func (n *Node) receiveAdmission(kind protowire.Number, raw []byte, from net.Addr) error {
	if kind == messageAdmissionReply {
		reply, err := unmarshalReply(raw)
		if err == nil && n.Admission != nil {
			n.Admission.Receive(reply)
		}
		return err
	}
	if kind == messageAdmissionRequest {
		r, err := unmarshalRequest(raw)
		if err == nil && n.Admission != nil {
			// The reply needs the sender's address, which may have sent no heartbeat yet.
			n.members.add(Member{Name: r.Router, Zone: r.Zone, Incarnation: r.Incarnation, Address: from.String()})
			n.Admission.Submit(r)
		}
		return err
	}
	e, u, err := unmarshalEnded(raw)
	switch {
	case err != nil || n.Admission == nil:
		return err
	case kind == messageRelease:
		n.Admission.Release(e, u)
	default:
		n.Admission.Cancel(e)
	}
	return nil
}
