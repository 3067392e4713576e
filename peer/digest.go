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

// loadChangeDivisor sets the smallest change of a load that is reported to other
// zones: the old load divided by it. The exact loads come with the answers to
// requests for permits.
const loadChangeDivisor = 8

// zoneState is the state of a zone as digests report it.
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

// diff returns a digest of the changes from z to next.
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
		if old, ok := z.loads[id]; !ok || significantChange(old.GetWork(), l.GetWork()) {
			msg.Loads = append(msg.Loads, l)
		}
	}
	msg.Version = z.version
	if z.version == 0 || len(msg.Members)+len(msg.Gone)+len(msg.Loads) > 0 {
		msg.Version++
	}
	return msg
}

// significantChange reports whether a load changed enough to be reported to
// another zone.
func significantChange(old, now int64) bool {
	return old != now && loadChangeDivisor*max(old-now, now-old) >= old
}

// apply applies the changes of a digest.
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

// digestStates holds, by origin, the zone states that were last sent and
// received on a session.
type digestStates struct {
	mu       sync.Mutex
	sent     map[string]*zoneState
	received map[string]*zoneState // accessed only by the reader of the control lane
}

func newDigestStates() digestStates {
	return digestStates{sent: make(map[string]*zoneState), received: make(map[string]*zoneState)}
}

// sendDigest queues the changes of a zone since the last digest of the origin.
func (s *session) sendDigest(origin, zone string, next *zoneState) error {
	s.digests.mu.Lock()
	defer s.digests.mu.Unlock()
	lastSent, ok := s.digests.sent[origin]
	if !ok {
		lastSent = newZoneState()
	}
	msg := lastSent.diff(next)
	msg.Origin, msg.Zone = origin, zone
	body, err := proto.Marshal(msg)
	if err != nil {
		return err
	}
	if err := s.offer(&Envelope{Kind: uint32(KindDigest), Body: body}); err != nil {
		return err
	}
	lastSent.apply(msg)
	s.digests.sent[origin] = lastSent
	return nil
}

// markUsed records that the session carried a message other than a heartbeat.
func (s *session) markUsed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = s.conn.clock.Now()
}

// zoneLoads holds the loads from the last heartbeats of the zone's routers.
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

// get returns the loads that a router last reported.
func (z *zoneLoads) get(id peridotusher.RouterID) []*Load {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.Clone(z.byRouter[id])
}

// retainMembers removes the routers that are no longer members.
func (z *zoneLoads) retainMembers(members map[string]*RosterMember) {
	z.mu.Lock()
	defer z.mu.Unlock()
	maps.DeleteFunc(z.byRouter, func(id peridotusher.RouterID, _ []*Load) bool { return members[string(id)] == nil })
}

// sendDigests sends the state of this router's zone to other zones, over the
// links that this router holds.
func (n *Node) sendDigests() {
	if !n.sparse() {
		return
	}
	zone := n.ownZoneState()
	roster := &zoneState{members: zone.members}
	for _, s := range n.linkSessions() {
		state := roster
		if n.holdsLoadLink(s.peer.Zone()) {
			state = zone
		}
		if err := s.sendDigest(string(n.Self.ID()), string(n.Self.Zone()), state); err != nil {
			n.Log.WithError(err).WithField("peer", s.peer.ID()).Debug("digest not sent")
		}
	}
}

// ownZoneState returns the state of this router's zone as it sees it.
func (n *Node) ownZoneState() *zoneState {
	zone := newZoneState()
	for _, m := range n.Members.All() {
		leaving := m.State() == peridotusher.MemberLeaving
		if m.Zone() != n.Self.Zone() || !leaving && !isLive(m) {
			continue
		}
		id := string(m.ID())
		zone.members[id] = &RosterMember{Router: id, Address: m.Address(), Incarnation: m.Incarnation(), Leaving: leaving}
		loads := n.loads.get(m.ID())
		if m.ID() == n.Self.ID() && n.LoadSource != nil {
			loads = loadsToWire(n.LoadSource.Loads())
		}
		for _, l := range loads {
			zone.loads[l.GetEngine()] = l
		}
	}
	n.loads.retainMembers(zone.members)
	return zone
}

// receiveDigest applies a digest of another zone and, if it came over a link,
// forwards it within this router's zone.
func (n *Node) receiveDigest(s *session, e *Envelope) {
	var msg Digest
	if err := proto.Unmarshal(e.GetBody(), &msg); err != nil {
		s.close(err)
		return
	}
	overLink := s.peer.Zone() != n.Self.Zone()
	if msg.GetZone() == string(n.Self.Zone()) || overLink && msg.GetOrigin() != string(s.peer.ID()) {
		return
	}
	zone, ok := s.digests.received[msg.GetOrigin()]
	if !ok || msg.GetSince() == 0 {
		zone = newZoneState()
	}
	if zone.version != msg.GetSince() {
		s.close(errDigestGap)
		return
	}
	zone.apply(&msg)
	s.digests.received[msg.GetOrigin()] = zone
	origin := peridotusher.RouterID(msg.GetOrigin())
	n.Members.ReceiveDigest(origin, peridotusher.Zone(msg.GetZone()), zone.roster(peridotusher.Zone(msg.GetZone())), n.scaledSuspectTimeout(1))
	if n.LoadSink != nil && len(msg.GetLoads()) > 0 {
		n.LoadSink.SetLoads(origin, loadsFromWire(msg.GetLoads()))
	}
	if overLink {
		n.forwardDigest(&msg, zone)
	}
}

// forwardDigest forwards a digest that came over a link to the other routers of
// this router's zone.
func (n *Node) forwardDigest(msg *Digest, zone *zoneState) {
	for _, s := range n.ownZoneSessions() {
		if err := s.sendDigest(msg.GetOrigin(), msg.GetZone(), zone); err != nil {
			n.Log.WithError(err).WithField("peer", s.peer.ID()).Debug("digest not forwarded")
		}
	}
}

// encodeWithoutLoads returns the encoded heartbeat for routers of other zones.
// With sparse links it omits the loads, which digests report instead.
func (n *Node) encodeWithoutLoads(msg *Heartbeat, encoded []byte) ([]byte, error) {
	if !n.sparse() {
		return encoded, nil
	}
	msg.Loads = nil
	return proto.Marshal(msg)
}
