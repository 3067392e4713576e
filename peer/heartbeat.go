package peer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

// ReportedState is the state that another router last reported of itself.
type ReportedState struct {
	MembersVersion uint64 // version of its table of members
	Revision       uint64 // configuration revision that it has in force
}

// runHeartbeats closes silent and idle sessions and dials missing ones once per
// HeartbeatInterval. It sends heartbeats and digests as often as the byte budget
// allows.
func (n *Node) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(n.HeartbeatInterval)
	defer ticker.Stop()
	intervalTicks := 1
	for tick := 0; ; tick++ {
		timeout := n.scaledSuspectTimeout(intervalTicks)
		n.sessions.closeSilent(n.Clock.Now(), timeout)
		n.Members.Expire(timeout)
		n.drainIdleSessions()
		n.dialMissingSessions(ctx)
		if tick%intervalTicks == 0 {
			intervalTicks = n.sendHeartbeats(intervalTicks)
			n.sendDigests()
			tick = 0
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// sendHeartbeats queues a heartbeat on each session, in place of one that is
// still queued. It returns the number of ticks until the next heartbeats.
func (n *Node) sendHeartbeats(intervalTicks int) int {
	msg := n.newHeartbeat()
	msg.Every = uint64((time.Duration(intervalTicks) * n.HeartbeatInterval).Microseconds())
	body, err := proto.Marshal(msg)
	if err != nil {
		n.Log.WithError(err).Error("heartbeat not encoded")
		return intervalTicks
	}
	withoutLoads, err := n.encodeWithoutLoads(msg, body)
	if err != nil {
		n.Log.WithError(err).Error("heartbeat not encoded")
		return intervalTicks
	}
	sessions := n.sessions.all()
	for _, s := range sessions {
		encoded := body
		if !n.exchangesLoads(s.peer) {
			encoded = withoutLoads
		}
		s.lanes[controlLane].replaceHeartbeat(&Envelope{Kind: uint32(KindHeartbeat), Body: encoded})
	}
	return n.heartbeatTicks(len(sessions), len(body))
}

// newHeartbeat returns a heartbeat with this router's current state.
func (n *Node) newHeartbeat() *Heartbeat {
	msg := &Heartbeat{View: n.Members.Version()}
	if self, ok := n.Members.Get(n.Self.ID()); ok {
		msg.Leaving = self.State() == peridotusher.MemberLeaving
	}
	if n.RevisionSource != nil {
		msg.Revision = n.RevisionSource.Revision()
	}
	if n.LoadSource != nil {
		msg.Loads = loadsToWire(n.LoadSource.Loads())
	}
	return msg
}

// receiveHeartbeat records the state in another router's heartbeat. It closes the
// session if a later process of that router is known.
func (n *Node) receiveHeartbeat(s *session, e *Envelope) {
	var msg Heartbeat
	if err := proto.Unmarshal(e.GetBody(), &msg); err != nil {
		s.close(err)
		return
	}
	member := s.peer
	if msg.GetLeaving() {
		member = member.WithState(peridotusher.MemberLeaving)
	}
	if !n.Members.ReceiveHeartbeat(member) {
		s.close(errStaleIncarnation)
		return
	}
	s.setPeerState(ReportedState{MembersVersion: msg.GetView(), Revision: msg.GetRevision()}, microseconds(int64(msg.GetEvery())))
	if n.exchangesLoads(s.peer) {
		n.loads.set(s.peer.ID(), msg.GetLoads())
	}
	if n.LoadSink != nil {
		n.LoadSink.SetLoads(s.peer.ID(), loadsFromWire(msg.GetLoads()))
	}
}

// AnnounceLeaving marks this router as leaving and waits until all connected routers
// have confirmed the notice. Later heartbeats repeat it.
func (n *Node) AnnounceLeaving(ctx context.Context) error {
	n.once.Do(n.init)
	n.Members.MarkLeaving(n.Self.ID())
	var group errgroup.Group
	for _, s := range n.sessions.all() {
		if !s.usable() {
			continue
		}
		group.Go(func() error {
			_, err := s.call(ctx, KindLeaving, nil)
			return err
		})
	}
	return group.Wait()
}

// receiveLeaving records that another router is leaving.
func (n *Node) receiveLeaving(s *session, e *Envelope) {
	n.Members.ReceiveHeartbeat(s.peer.WithState(peridotusher.MemberLeaving))
	n.reply(s, e, nil, nil)
}

// PeerStates returns the state that each connected router last reported of itself.
func (n *Node) PeerStates() map[peridotusher.RouterID]ReportedState {
	n.once.Do(n.init)
	views := make(map[peridotusher.RouterID]ReportedState)
	for _, s := range n.sessions.all() {
		views[s.peer.ID()] = s.peerState()
	}
	return views
}

// loadsToWire converts loads to their wire form.
func loadsToWire(loads []peridotusher.EngineLoad) []*Load {
	var msgs []*Load
	for _, l := range loads {
		msgs = append(msgs, &Load{
			Engine:  string(l.Engine),
			Model:   l.Model,
			Work:    int64(l.Work),
			Permits: int64(l.Permits),
			Age:     l.Age.Microseconds(),
		})
	}
	return msgs
}

// loadsFromWire converts received loads.
func loadsFromWire(msgs []*Load) []peridotusher.EngineLoad {
	var loads []peridotusher.EngineLoad
	for _, m := range msgs {
		loads = append(loads, peridotusher.EngineLoad{
			Engine:  peridotusher.EngineID(m.GetEngine()),
			Model:   m.GetModel(),
			Work:    int(m.GetWork()),
			Permits: int(m.GetPermits()),
			Age:     microseconds(m.GetAge()),
		})
	}
	return loads
}
