package peer

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

const (
	// defaultFullMeshLimit is the largest number of routers that form a full mesh.
	// In a larger fleet the links between zones are sparse.
	defaultFullMeshLimit = 64
	// linksPerZone is the number of links from one zone to another. The second
	// keeps the zones connected when the router that holds the first fails.
	linksPerZone = 2
	// maxDialRequests limits the queue of dials requested for a message.
	maxDialRequests = 64
)

// exchangesLoads reports whether heartbeats to and from a router carry loads:
// those of the same zone do, and in a full mesh all do.
func (n *Node) exchangesLoads(m peridotusher.Member) bool {
	return m.Zone() == n.Self.Zone() || !n.sparse()
}

// sparse reports whether the fleet is too large for a full mesh, so that only
// linksPerZone links join one zone to another.
func (n *Node) sparse() bool { return n.Members.Len() > n.FullMeshLimit }

// linkTargets returns the members with which this router keeps a session: all of
// them in a full mesh, else those of its zone and the remote ends of its links.
func (n *Node) linkTargets(members []peridotusher.Member) []peridotusher.Member {
	if !n.sparse() {
		return members
	}
	var targets []peridotusher.Member
	zones := make(map[peridotusher.Zone][]peridotusher.Member)
	for _, m := range members {
		zones[m.Zone()] = append(zones[m.Zone()], m)
		if m.Zone() == n.Self.Zone() {
			targets = append(targets, m)
		}
	}
	for zone, remote := range zones {
		if zone != n.Self.Zone() {
			targets = append(targets, n.linkTargetsIn(zone, zones[n.Self.Zone()], remote)...)
		}
	}
	return targets
}

// linkTargetsIn returns the remote ends of the links to a zone that this router
// holds. The routers of its zone rank the same live members and so agree on the
// holders.
func (n *Node) linkTargetsIn(zone peridotusher.Zone, own, remote []peridotusher.Member) []peridotusher.Member {
	holders := n.rankHolders(zone, own)
	ranked := n.rankTargets(n.linkKey(zone), remote)
	var targets []peridotusher.Member
	for i := range linksPerZone {
		if len(holders) == 0 || len(ranked) == 0 || holders[i%len(holders)].ID() != n.Self.ID() {
			continue
		}
		target := ranked[i%len(ranked)]
		if !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	return targets
}

// linkKey returns the rendezvous key that ranks both ends of the links to a zone.
func (n *Node) linkKey(zone peridotusher.Zone) string {
	return string(n.Self.Zone()) + ">" + string(zone)
}

// rankHolders ranks the live routers of this router's zone as holders of the
// links to another zone.
func (n *Node) rankHolders(zone peridotusher.Zone, own []peridotusher.Member) []peridotusher.Member {
	return rankMembers(n.linkKey(zone), own, isLive)
}

// holdsLoadLink reports whether this router holds the first link to the zone,
// the only one whose digests carry loads.
func (n *Node) holdsLoadLink(zone peridotusher.Zone) bool {
	holders := n.rankHolders(zone, n.Members.Live(n.Self.Zone()))
	return len(holders) > 0 && holders[0].ID() == n.Self.ID()
}

// rankTargets ranks the routers of another zone: live ones first, then those
// that are only listed or silent, then those whose last dial failed.
func (n *Node) rankTargets(key string, remote []peridotusher.Member) []peridotusher.Member {
	failed := func(m peridotusher.Member) bool { return !n.connected(m) && n.dials.lastError(m.Address()) != nil }
	ranked := rankMembers(key, remote, func(m peridotusher.Member) bool { return isLive(m) && !failed(m) })
	ranked = append(ranked, rankMembers(key, remote, func(m peridotusher.Member) bool { return !isLive(m) && !failed(m) })...)
	return append(ranked, rankMembers(key, remote, failed)...)
}

func isLive(m peridotusher.Member) bool { return m.State() == peridotusher.MemberLive }

// rankMembers returns the matching members in rendezvous order.
func rankMembers(key string, members []peridotusher.Member, match func(peridotusher.Member) bool) []peridotusher.Member {
	byName := make(map[string]peridotusher.Member)
	var candidates []peridotusher.Weighted
	for _, m := range members {
		if match(m) {
			byName[string(m.ID())] = m
			candidates = append(candidates, peridotusher.Weighted{Name: string(m.ID()), Weight: 1})
		}
	}
	var ranked []peridotusher.Member
	for _, name := range peridotusher.Rank(key, candidates) {
		ranked = append(ranked, byName[name])
	}
	return ranked
}

// ownZoneSessions returns the sessions with routers of this router's zone.
func (n *Node) ownZoneSessions() []*session {
	return slices.DeleteFunc(n.sessions.all(), func(s *session) bool { return s.peer.Zone() != n.Self.Zone() })
}

// linkSessions returns the sessions of the links that this router holds.
func (n *Node) linkSessions() []*session {
	var sessions []*session
	for _, m := range n.linkTargets(n.Members.Targets()) {
		s, ok := n.sessions.get(m.ID())
		if !ok {
			s, ok = n.sessions.get(n.dials.routerAt(m.Address()))
		}
		if ok && s.peer.Zone() != n.Self.Zone() {
			sessions = append(sessions, s)
		}
	}
	return sessions
}

// drainIdleSessions drains the sessions that this router dialled on demand to
// other zones and that carried only heartbeats and digests for IdleTimeout.
func (n *Node) drainIdleSessions() {
	if !n.sparse() {
		return
	}
	links := n.linkSessions()
	usedBefore := n.Clock.Now().Add(-n.IdleTimeout)
	for _, s := range n.sessions.all() {
		dialledRemote := s.peer.Zone() != n.Self.Zone() && s.dialer == n.Self.ID()
		if dialledRemote && !slices.Contains(links, s) {
			s.drainIfIdle(usedBefore)
		}
	}
}

// withSession calls send with the session to a router. If the session ended
// before anything was sent on it, for example because either side closed it as
// idle, it retries once with a new session.
func (n *Node) withSession(ctx context.Context, to peridotusher.RouterID, send func(*session) error) error {
	s, err := n.sessionOrDial(ctx, to)
	if err != nil {
		return err
	}
	err = send(s)
	var linkErr *ConnectionError
	if !errors.As(err, &linkErr) || linkErr.Sent() {
		return err
	}
	if s, err = n.sessionOrDial(ctx, to); err != nil {
		return err
	}
	return send(s)
}

// sessionOrDial returns the session with a router. With sparse links, if there is
// none with a router of another zone, it dials the router and waits for the
// session.
func (n *Node) sessionOrDial(ctx context.Context, to peridotusher.RouterID) (*session, error) {
	s, err := n.session(to)
	if err == nil || !n.sparse() {
		return s, err
	}
	m, ok := n.dialTarget(to)
	if !ok || m.Zone() == n.Self.Zone() {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, n.SuspectTimeout)
	defer cancel()
	n.requestDial(ctx, m)
	for {
		changed := n.sessions.changes()
		s, err = n.session(to)
		if err == nil {
			return s, nil
		}
		if !n.dials.dialing(m.Address()) && (errors.Unwrap(err) != nil || !n.requestDial(ctx, m)) {
			return nil, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &ConnectionError{router: to, err: ctx.Err()}
		}
	}
}

// requestDial queues a dial to a router, unless its backoff has not ended. It
// reports whether a dial is queued or in progress. A new dial can be needed even
// after a successful one: its session may have been dropped in favour of an
// older session that has ended since.
func (n *Node) requestDial(ctx context.Context, m peridotusher.Member) bool {
	if !n.dials.tryStart(m.Address()) {
		return n.dials.dialing(m.Address())
	}
	select {
	case n.dialRequests <- m:
		return true
	case <-ctx.Done():
		n.dials.failed(m.Address(), ctx.Err())
		return false
	}
}

// dialTarget returns a member with the address at which to dial it.
func (n *Node) dialTarget(id peridotusher.RouterID) (peridotusher.Member, bool) {
	targets := n.Members.Targets()
	i := slices.IndexFunc(targets, func(m peridotusher.Member) bool { return m.ID() == id })
	if i < 0 {
		return peridotusher.Member{}, false
	}
	return targets[i], true
}

// serveDialRequests dials the members for which messages wait.
func (n *Node) serveDialRequests(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-n.dialRequests:
			n.group.Go(func() error {
				n.dial(ctx, m)
				return nil
			})
		}
	}
}

// forward forwards a broadcast message: one from this router's zone over the
// links that it holds, and one that came over a link to its zone.
func (n *Node) forward(s *session, e *Envelope) {
	kind := Kind(e.GetKind())
	if kind != KindFacts && kind != KindDemands || !n.sparse() {
		return
	}
	local := s.peer.Zone() == n.Self.Zone()
	switch {
	case local && e.GetOrigin() == "":
		n.offerAll(n.linkSessions(), &Envelope{Kind: e.GetKind(), Body: e.GetBody(), Origin: string(s.peer.ID())})
	case !local && e.GetOrigin() != "":
		n.offerAll(n.ownZoneSessions(), &Envelope{Kind: e.GetKind(), Body: e.GetBody(), Origin: e.GetOrigin()})
	}
}

// originOf returns the router that sent a message first, if it was forwarded, else
// the peer.
func originOf(s *session, e *Envelope) peridotusher.RouterID {
	if e.GetOrigin() != "" {
		return peridotusher.RouterID(e.GetOrigin())
	}
	return s.peer.ID()
}

// offerAll queues a message on each session whose outbox has a free slot.
func (n *Node) offerAll(sessions []*session, e *Envelope) {
	for _, s := range sessions {
		if err := s.offer(proto.CloneOf(e)); err != nil {
			n.Log.WithError(err).WithField("peer", s.peer.ID()).Debug("broadcast message not sent")
		}
	}
}
