package peer

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

const (
	// defaultMesh is the number of routers up to which all link with all. Beyond
	// it the links between zones are sparse.
	defaultMesh = 64
	// zoneLinks is the number of links from one zone to another. The second
	// carries on when the first one's holder dies.
	zoneLinks = 2
	// wantedDials bounds the dials that wait to be started for messages.
	wantedDials = 64
)

// near reports whether a router gets what the routers of a zone tell each
// other. In a full mesh that is every router.
func (n *Node) near(m peridotusher.Member) bool {
	return m.Zone() == n.Self.Zone() || !n.sparse()
}

// sparse reports whether zones are joined by few links.
func (n *Node) sparse() bool { return n.Members.Len() > n.Mesh }

// links returns the members with which this router keeps a session: all while
// the fleet is small, else those of its zone and the far ends of its links.
func (n *Node) links(members []peridotusher.Member) []peridotusher.Member {
	if !n.sparse() {
		return members
	}
	var kept []peridotusher.Member
	zones := make(map[peridotusher.Zone][]peridotusher.Member)
	for _, m := range members {
		zones[m.Zone()] = append(zones[m.Zone()], m)
		if m.Zone() == n.Self.Zone() {
			kept = append(kept, m)
		}
	}
	for zone, far := range zones {
		if zone != n.Self.Zone() {
			kept = append(kept, n.linksTo(zone, zones[n.Self.Zone()], far)...)
		}
	}
	return kept
}

// linksTo returns the far ends of the links to a zone that this router holds.
// The routers of its zone rank the same live members and so agree on the holders.
func (n *Node) linksTo(zone peridotusher.Zone, near, far []peridotusher.Member) []peridotusher.Member {
	holders := n.holders(zone, near)
	ends := n.farEnds(n.linkKey(zone), far)
	var kept []peridotusher.Member
	for i := range zoneLinks {
		if len(holders) == 0 || len(ends) == 0 || holders[i%len(holders)].ID() != n.Self.ID() {
			continue
		}
		end := ends[i%len(ends)]
		if !slices.Contains(kept, end) {
			kept = append(kept, end)
		}
	}
	return kept
}

// linkKey returns the key by which the ends of the links to a zone are ranked.
func (n *Node) linkKey(zone peridotusher.Zone) string {
	return string(n.Self.Zone()) + ">" + string(zone)
}

// holders ranks the routers of the own zone for the links to another.
func (n *Node) holders(zone peridotusher.Zone, near []peridotusher.Member) []peridotusher.Member {
	return rankMembers(n.linkKey(zone), near, live)
}

// sendsLoads reports whether this router holds the one link to the zone that
// carries loads.
func (n *Node) sendsLoads(zone peridotusher.Zone) bool {
	holders := n.holders(zone, n.Members.Live(n.Self.Zone()))
	return len(holders) > 0 && holders[0].ID() == n.Self.ID()
}

// farEnds ranks the routers of another zone: live ones, then those that are
// only listed or silent, and last those whose last dial failed.
func (n *Node) farEnds(key string, far []peridotusher.Member) []peridotusher.Member {
	failed := func(m peridotusher.Member) bool { return !n.connected(m) && n.dials.lastError(m.Address()) != nil }
	ends := rankMembers(key, far, func(m peridotusher.Member) bool { return live(m) && !failed(m) })
	ends = append(ends, rankMembers(key, far, func(m peridotusher.Member) bool { return !live(m) && !failed(m) })...)
	return append(ends, rankMembers(key, far, failed)...)
}

func live(m peridotusher.Member) bool { return m.State() == peridotusher.MemberLive }

// rankMembers returns the members that match in rendezvous order.
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

// nearSessions returns the sessions within the zone.
func (n *Node) nearSessions() []*session {
	return slices.DeleteFunc(n.sessions.all(), func(s *session) bool { return s.peer.Zone() != n.Self.Zone() })
}

// linkSessions returns the sessions of the links that this router holds.
func (n *Node) linkSessions() []*session {
	var sessions []*session
	for _, m := range n.links(n.Members.Targets()) {
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

// closeIdle closes the sessions on demand that this router dialled and that
// carried nothing but heartbeats for a while.
func (n *Node) closeIdle() {
	if !n.sparse() {
		return
	}
	links := n.linkSessions()
	since := n.Clock.Now().Add(-n.Idle)
	for _, s := range n.sessions.all() {
		far := s.peer.Zone() != n.Self.Zone() && s.dialer == n.Self.ID()
		if far && !slices.Contains(links, s) {
			s.closeIdle(since)
		}
	}
}

// over carries a message over the session with a router. It takes a new session
// once if the first ended before anything was sent on it, as when either side closes
// it as idle.
func (n *Node) over(ctx context.Context, to peridotusher.RouterID, carry func(*session) error) error {
	s, err := n.reach(ctx, to)
	if err != nil {
		return err
	}
	err = carry(s)
	var link *LinkError
	if !errors.As(err, &link) || link.Sent() {
		return err
	}
	if s, err = n.reach(ctx, to); err != nil {
		return err
	}
	return carry(s)
}

// reach returns the session with a router. With sparse links it dials a router
// of another zone and waits for the session.
func (n *Node) reach(ctx context.Context, to peridotusher.RouterID) (*session, error) {
	s, err := n.session(to)
	if err == nil || !n.sparse() {
		return s, err
	}
	m, ok := n.target(to)
	if !ok || m.Zone() == n.Self.Zone() {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, n.Timeout)
	defer cancel()
	n.want(ctx, m)
	for {
		news := n.sessions.watch()
		s, err = n.session(to)
		if err == nil {
			return s, nil
		}
		if !n.dials.busy(m.Address()) && (errors.Unwrap(err) != nil || !n.want(ctx, m)) {
			return nil, err
		}
		select {
		case <-news:
		case <-ctx.Done():
			return nil, &LinkError{router: to, err: ctx.Err()}
		}
	}
}

// want has a router dialled, unless a dial has failed lately. A dial that ended well may
// have left no session: it was given up for an older one, which has ended since.
func (n *Node) want(ctx context.Context, m peridotusher.Member) bool {
	if !n.dials.begin(m.Address()) {
		return n.dials.busy(m.Address())
	}
	select {
	case n.wanted <- m:
		return true
	case <-ctx.Done():
		n.dials.failed(m.Address(), ctx.Err())
		return false
	}
}

// target returns a member with the address to dial.
func (n *Node) target(id peridotusher.RouterID) (peridotusher.Member, bool) {
	targets := n.Members.Targets()
	i := slices.IndexFunc(targets, func(m peridotusher.Member) bool { return m.ID() == id })
	if i < 0 {
		return peridotusher.Member{}, false
	}
	return targets[i], true
}

// dialWanted dials the members that messages wait for.
func (n *Node) dialWanted(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-n.wanted:
			n.group.Go(func() error {
				n.dial(ctx, m)
				return nil
			})
		}
	}
}

// relay passes a message to all on: from the own zone over the links that this
// router holds, and from a link to the own zone.
func (n *Node) relay(s *session, e *Envelope) {
	kind := Kind(e.GetKind())
	if kind != KindFacts && kind != KindDemands || !n.sparse() {
		return
	}
	local := s.peer.Zone() == n.Self.Zone()
	switch {
	case local && e.GetOrigin() == "":
		n.offerAll(n.linkSessions(), &Envelope{Kind: e.GetKind(), Body: e.GetBody(), Origin: string(s.peer.ID())})
	case !local && e.GetOrigin() != "":
		n.offerAll(n.nearSessions(), &Envelope{Kind: e.GetKind(), Body: e.GetBody(), Origin: e.GetOrigin()})
	}
}

// originOf returns the router whose message it is.
func originOf(s *session, e *Envelope) peridotusher.RouterID {
	if e.GetOrigin() != "" {
		return peridotusher.RouterID(e.GetOrigin())
	}
	return s.peer.ID()
}

// offerAll queues a message on each session that has a place for it.
func (n *Node) offerAll(sessions []*session, e *Envelope) {
	for _, s := range sessions {
		if err := s.offer(proto.CloneOf(e)); err != nil {
			n.Log.WithError(err).WithField("peer", s.peer.ID()).Debug("message to all not sent")
		}
	}
}
