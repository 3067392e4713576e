package mesh

import (
	"sort"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
)

const (
	// minAliveTime is how long a router counts as alive after its last heartbeat in a small
	// fleet; in a large one this is aliveCoverTimes times the cover time.
	minAliveTime    = 1200 * time.Millisecond
	aliveCoverTimes = 3
	// minRememberTime is how long a silent router stays in the membership list, and so is sent
	// heartbeats and counts for the retry budget; in a very large fleet this is
	// rememberCoverTimes times the cover time.
	minRememberTime    = 30 * time.Second
	rememberCoverTimes = 4
)

// members is the membership list: the other routers that this one knows.
type members struct {
	self  Member
	hash  uint64 // of this router's name
	clock peridotusher.Clock

	mu    sync.Mutex
	known map[string]*member
	zones map[string]zoneQueries
	// version is incremented when routers or their addresses change.
	version uint64
	shares  shareState
}

// member is another router with what its latest heartbeat reported.
type member struct {
	Member
	Summary
	hash          uint64 // of the name
	added         time.Time
	lastHeartbeat time.Time // zero if none was received
	started       time.Time // on this router's clock, computed from the reported uptime
	routers       int       // number of routers that it knows
	format        int
	stopping      bool
	ready         bool
	skipUntil     time.Time // until when the router is not queried
}

func newMembers(self Member, clock peridotusher.Clock) *members {
	return &members{
		self: self, hash: nameHash(self.Name), clock: clock,
		known: make(map[string]*member), zones: make(map[string]zoneQueries),
		shares: shareState{silent: make(map[string]silentMember)},
	}
}

// receive records a heartbeat. It returns false for one without a sender, of this router itself or
// of an earlier start of its sender, which is ignored. The later one of two starts is determined by
// uptime, not by incarnation, since the time of day may have been set back between them.
func (m *members) receive(h *Heartbeat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.Name == m.self.Name || h.Name == "" {
		return false
	}
	now := m.clock.Now()
	peer, ok := m.known[h.Name]
	if !ok {
		peer = &member{added: now, hash: nameHash(h.Name)}
		m.known[h.Name] = peer
	}
	if !ok || h.RouterCount != peer.routers {
		m.shares.invalidate()
	}
	if h.Address != peer.Address {
		m.version++
	}
	started := now.Add(-h.Uptime)
	if h.Incarnation != peer.Incarnation && started.Before(peer.started) && m.isAlive(peer, now) {
		return false
	}
	peer.Member, peer.Summary, peer.lastHeartbeat, peer.started = h.Member, h.summary(), now, started
	peer.stopping, peer.ready, peer.routers, peer.format = h.Stopping, h.Ready, h.RouterCount, h.Format
	for _, named := range h.Known {
		m.addNamed(now, named)
	}
	m.recordSize(h.RouterCount)
	return true
}

// add adds a router that another one listed or that was discovered by other means.
func (m *members) add(named Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addNamed(m.clock.Now(), named)
}

// addNamed adds a router that another one listed. It does not replace the record of a router that
// is alive, since the other one may know an earlier start of it. The caller holds m.mu.
func (m *members) addNamed(now time.Time, named Member) {
	if named.Name == m.self.Name || named.Name == "" || named.Address == "" {
		return
	}
	peer, ok := m.known[named.Name]
	if !ok {
		m.known[named.Name] = &member{Member: named, added: now, hash: nameHash(named.Name)}
		m.version++
		m.shares.invalidate()
		return
	}
	if named.Incarnation != peer.Incarnation && !m.isAlive(peer, now) {
		peer.Member, peer.added = named, now
		m.version++
	}
}

// aliveTime is how long the router counts as alive after its last heartbeat. It also depends on
// how many routers that one knows, which determines how often it sends a heartbeat to this one.
func (m *members) aliveTime(peer *member) time.Duration {
	return max(minAliveTime, aliveCoverTimes*coverTime(max(len(m.known), peer.routers-1)))
}

// alive returns copies of the routers that are alive, sorted by name.
func (m *members) alive() []*member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var out []*member
	for _, peer := range m.known {
		if m.isAlive(peer, now) {
			c := *peer
			out = append(out, &c)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ZoneCount is the number of known routers in an availability zone, and how many of them are
// alive and ready.
type ZoneCount struct{ Ready, All int }

// zone counts the routers of this router's zone. This router itself is counted in All only.
func (m *members) zone() ZoneCount {
	n := ZoneCount{All: 1}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, peer := range m.known {
		if peer.Zone != m.self.Zone {
			continue
		}
		n.All++
		if m.isAlive(peer, now) && peer.ready {
			n.Ready++
		}
	}
	return n
}

// isAlive reports whether a heartbeat from the router was received within its aliveTime.
func (m *members) isAlive(peer *member, now time.Time) bool {
	return !peer.lastHeartbeat.IsZero() && now.Sub(peer.lastHeartbeat) < m.aliveTime(peer)
}

// rank counts the routers before this one in the topic's rendezvous order that are alive,
// not stopping and of this router's format.
func (m *members) rank(topic string) int {
	key := nameHash(topic)
	score := placing.Score(key, m.hash)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	rank := 0
	for _, peer := range m.known {
		if peer.format == format && !peer.stopping && placing.Score(key, peer.hash) < score && m.isAlive(peer, now) {
			rank++
		}
	}
	return rank
}

// rememberTime is how long a silent router stays in the membership list.
func (m *members) rememberTime() time.Duration {
	return max(minRememberTime, rememberCoverTimes*coverTime(len(m.known)))
}

// removeSilent removes routers that were silent for longer than rememberTime and returns the
// version of the membership list.
func (m *members) removeSilent() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	rememberFor := m.rememberTime()
	for name, peer := range m.known {
		last := peer.lastHeartbeat
		if peer.added.After(last) {
			last = peer.added
		}
		if now.Sub(last) > rememberFor {
			m.rememberSilent(name, peer)
			delete(m.known, name)
			m.version++
			m.shares.invalidate()
		}
	}
	m.expireSilent(now)
	return m.version
}

// addresses returns the sorted addresses to which heartbeats are sent.
func (m *members) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.known))
	for _, peer := range m.known {
		out = append(out, peer.Address)
	}
	sort.Strings(out)
	return out
}

// sizesAgree reports whether all known routers have reported the same number of known routers as
// this one has.
func (m *members) sizesAgree() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, peer := range m.known {
		if peer.routers != len(m.known)+1 {
			return false
		}
	}
	return true
}

// count returns the number of known routers including this one.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) + 1
}
