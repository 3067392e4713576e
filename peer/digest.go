package peer

import (
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

var (
	errIdle      = errors.New("session was idle")
	errDigestGap = errors.New("digest does not follow the one before")
)

// loadSteps is the number of steps in a load that are reported to another zone. The
// exact loads come with the answers to asks.
const loadSteps = 8

// zoneState is what a digest reports of a zone.
type zoneState struct {
	version uint64
	members map[string]*RosterMember
	loads   map[string]*Load
}

func newZoneState() *zoneState {
	return &zoneState{members: make(map[string]*RosterMember), loads: make(map[string]*Load)}
}

// roster returns the members of the zone.
func (z *zoneState) roster(zone peridotusher.Zone) []peridotusher.Member {
	var roster []peridotusher.Member
	for _, m := range z.members {
		member := peridotusher.NewMember(peridotusher.RouterID(m.GetRouter()), zone, m.GetAddress(), m.GetIncarnation())
		state := peridotusher.MemberLive
		if m.GetLeaving() {
			state = peridotusher.MemberLeaving
		}
		roster = append(roster, member.WithState(state))
	}
	return roster
}

// diff returns what changed from z to next.
func (z *zoneState) diff(next *zoneState) *Digest {
	msg := &Digest{Since: z.version}
	for id, m := range next.members {
		if old, ok := z.members[id]; !ok || !proto.Equal(old, m) {
			msg.Members = append(msg.Members, m)
		}
	}
	for id := range z.members {
		if _, ok := next.members[id]; !ok {
			msg.Gone = append(msg.Gone, id)
		}
	}
	for id, l := range next.loads {
		if old, ok := z.loads[id]; !ok || changed(old.GetWork(), l.GetWork()) {
			msg.Loads = append(msg.Loads, l)
		}
	}
	msg.Version = z.version
	if z.version == 0 || len(msg.Members)+len(msg.Gone)+len(msg.Loads) > 0 {
		msg.Version++
	}
	return msg
}

// changed reports whether a load differs enough to be reported to another zone.
func changed(old, now int64) bool {
	return old != now && loadSteps*max(old-now, now-old) >= old
}

// apply takes a digest into the state.
func (z *zoneState) apply(msg *Digest) {
	for _, m := range msg.GetMembers() {
		z.members[m.GetRouter()] = m
	}
	for _, id := range msg.GetGone() {
		delete(z.members, id)
	}
	for _, l := range msg.GetLoads() {
		z.loads[l.GetEngine()] = l
	}
	z.version = msg.GetVersion()
}

// digestStreams holds, for each origin, what was sent and received on a session.
type digestStreams struct {
	mu  sync.Mutex
	out map[string]*zoneState
	in  map[string]*zoneState // used by the reader of the control lane only
}

func newDigestStreams() digestStreams {
	return digestStreams{out: make(map[string]*zoneState), in: make(map[string]*zoneState)}
}

// sendDigest queues what changed of a zone since the last digest of the origin.
func (s *session) sendDigest(origin, zone string, next *zoneState) error {
	s.digests.mu.Lock()
	defer s.digests.mu.Unlock()
	sent, ok := s.digests.out[origin]
	if !ok {
		sent = newZoneState()
	}
	msg := sent.diff(next)
	msg.Origin, msg.Zone = origin, zone
	body, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	if err := s.offer(&Envelope{Kind: uint32(KindDigest), Body: body}); err != nil {
		return err
	}
	sent.apply(msg)
	s.digests.out[origin] = sent
	return nil
}

// use notes that the session carried a message other than a heartbeat.
func (s *session) use() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = s.conn.clock.Now()
}

// zoneLoads holds the loads in the last heartbeats of the zone's routers.
type zoneLoads struct {
	mu       sync.Mutex
	byRouter map[peridotusher.RouterID][]*Load
}

func newZoneLoads() *zoneLoads {
	return &zoneLoads{byRouter: make(map[peridotusher.RouterID][]*Load)}
}

func (z *zoneLoads) set(from peridotusher.RouterID, loads []*Load) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.byRouter[from] = loads
}

// of returns the loads that the router reported.
func (z *zoneLoads) of(id peridotusher.RouterID) []*Load {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.Clone(z.byRouter[id])
}

// keep forgets the routers that are no longer members.
func (z *zoneLoads) keep(members map[string]*RosterMember) {
	z.mu.Lock()
	defer z.mu.Unlock()
	maps.DeleteFunc(z.byRouter, func(id peridotusher.RouterID, _ []*Load) bool { return members[string(id)] == nil })
}

// sendDigests reports the state of its zone to the other zones over this router's links.
func (n *Node) sendDigests() {
	if !n.sparse() {
		return
	}
	zone := n.ownZone()
	roster := &zoneState{members: zone.members}
	for _, s := range n.linkSessions() {
		state := roster
		if n.sendsLoads(s.peer.Zone()) {
			state = zone
		}
		if err := s.sendDigest(string(n.Self.ID()), string(n.Self.Zone()), state); err != nil {
			n.Log.WithError(err).WithField("peer", s.peer.ID()).Debug("digest not sent")
		}
	}
}

// ownZone returns the state of this router's zone as it sees it.
func (n *Node) ownZone() *zoneState {
	zone := newZoneState()
	for _, m := range n.Members.All() {
		leaving := m.State() == peridotusher.MemberLeaving
		if m.Zone() != n.Self.Zone() || !leaving && !live(m) {
			continue
		}
		id := string(m.ID())
		zone.members[id] = &RosterMember{Router: id, Address: m.Address(), Incarnation: m.Incarnation(), Leaving: leaving}
		loads := n.loads.of(m.ID())
		if m.ID() == n.Self.ID() && n.Loads != nil {
			loads = loadsToWire(n.Loads.Loads())
		}
		for _, l := range loads {
			zone.loads[l.GetEngine()] = l
		}
	}
	n.loads.keep(zone.members)
	return zone
}

// receiveDigest takes a digest and, if it came over a link, passes it on within
// the zone.
func (n *Node) receiveDigest(s *session, e *Envelope) {
	var msg Digest
	if err := proto.Unmarshal(e.GetBody(), &msg); err != nil {
		s.close(err)
		return
	}
	linked := s.peer.Zone() != n.Self.Zone()
	if msg.GetZone() == string(n.Self.Zone()) || linked && msg.GetOrigin() != string(s.peer.ID()) {
		return
	}
	zone, ok := s.digests.in[msg.GetOrigin()]
	if !ok || msg.GetSince() == 0 {
		zone = newZoneState()
	}
	if zone.version != msg.GetSince() {
		s.close(errDigestGap)
		return
	}
	zone.apply(&msg)
	s.digests.in[msg.GetOrigin()] = zone
	origin := peridotusher.RouterID(msg.GetOrigin())
	n.Members.Digest(origin, peridotusher.Zone(msg.GetZone()), zone.roster(peridotusher.Zone(msg.GetZone())), n.patience(1))
	if n.Sink != nil && len(msg.GetLoads()) > 0 {
		n.Sink.SetLoads(origin, loadsFromWire(msg.GetLoads()))
	}
	if linked {
		n.relayDigest(&msg, zone)
	}
}

// relayDigest passes on to the own zone what a link brought.
func (n *Node) relayDigest(msg *Digest, zone *zoneState) {
	for _, s := range n.nearSessions() {
		if err := s.sendDigest(msg.GetOrigin(), msg.GetZone(), zone); err != nil {
			n.Log.WithError(err).WithField("peer", s.peer.ID()).Debug("digest not passed on")
		}
	}
}

// withoutLoads returns the encoded heartbeat for other zones.
func (n *Node) withoutLoads(msg *Heartbeat, whole []byte) ([]byte, error) {
	if !n.sparse() {
		return whole, nil
	}
	msg.Loads = nil
	return proto.Marshal(msg)
}
