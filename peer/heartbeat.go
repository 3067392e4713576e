package peer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

// View is what another router last said of its own state.
type View struct {
	Members  uint64 // version of its table of members
	Revision uint64 // configuration revision in force there
}

// heartbeats dials and checks for silence once per interval, and sends heartbeats
// as often as the budget allows.
func (n *Node) heartbeats(ctx context.Context) error {
	ticker := time.NewTicker(n.Heartbeat)
	defer ticker.Stop()
	stretch := 1
	for tick := 0; ; tick++ {
		patience := n.patience(stretch)
		n.sessions.closeSilent(n.Clock.Now(), patience)
		n.Members.Expire(patience)
		n.closeIdle()
		n.dialMissing(ctx)
		if tick%stretch == 0 {
			stretch = n.sendHeartbeats(stretch)
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

// sendHeartbeats queues one heartbeat on each session. One that still waits
// there is replaced. It returns the number of ticks to the next.
func (n *Node) sendHeartbeats(stretch int) int {
	msg := n.heartbeat()
	msg.Every = uint64((time.Duration(stretch) * n.Heartbeat).Microseconds())
	body, err := proto.Marshal(msg)
	if err != nil {
		n.Log.WithError(err).Error("heartbeat not encoded")
		return stretch
	}
	short, err := n.withoutLoads(msg, body)
	if err != nil {
		n.Log.WithError(err).Error("heartbeat not encoded")
		return stretch
	}
	sessions := n.sessions.all()
	for _, s := range sessions {
		content := body
		if !n.near(s.peer) {
			content = short
		}
		s.lanes[controlLane].replaceHeartbeat(&Envelope{Kind: uint32(KindHeartbeat), Body: content})
	}
	return n.stretch(len(sessions), len(body))
}

// heartbeat returns this router's present heartbeat.
func (n *Node) heartbeat() *Heartbeat {
	msg := &Heartbeat{View: n.Members.Version()}
	if self, ok := n.Members.Get(n.Self.ID()); ok {
		msg.Leaving = self.State() == peridotusher.MemberLeaving
	}
	if n.Revision != nil {
		msg.Revision = n.Revision.Revision()
	}
	if n.Loads != nil {
		msg.Loads = loadsToWire(n.Loads.Loads())
	}
	return msg
}

// receiveHeartbeat records another router's heartbeat.
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
	s.setView(View{Members: msg.GetView(), Revision: msg.GetRevision()}, microseconds(int64(msg.GetEvery())))
	if n.near(s.peer) {
		n.loads.set(s.peer.ID(), msg.GetLoads())
	}
	if n.Sink != nil {
		n.Sink.SetLoads(s.peer.ID(), loadsFromWire(msg.GetLoads()))
	}
}

// Leaving marks this router as leaving and waits until all others that are
// connected know. The heartbeats that follow repeat it.
func (n *Node) Leaving(ctx context.Context) error {
	n.once.Do(n.init)
	n.Members.Leaving(n.Self.ID())
	var group errgroup.Group
	for _, s := range n.sessions.all() {
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

// Peers returns what each connected router last said of its own state.
func (n *Node) Peers() map[peridotusher.RouterID]View {
	n.once.Do(n.init)
	views := make(map[peridotusher.RouterID]View)
	for _, s := range n.sessions.all() {
		views[s.peer.ID()] = s.lastView()
	}
	return views
}

// loadsToWire converts the loads of engines.
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

// loadsFromWire converts loads that arrived.
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
