package mesh

import (
	"net/netip"
	"slices"
	"time"

	"peridotusher.example/peridotusher/placing"
)

const (
	// silentRetention is how long a router that fell silent without announcing a stop keeps
	// its position in the order of SharePosition. If routers that are partitioned off one by one
	// removed the others, each would use the shares of all.
	silentRetention = time.Hour
	// learnTime and learnHeartbeats are the time and the number of heartbeats without a report
	// of more routers after which a router that has started knows how many there are. The time
	// is longer than a second, the period for which requests to cold replicas are limited, so
	// that requests of an earlier start of the router no longer count.
	learnTime       = 2 * time.Second
	learnHeartbeats = 6
)

// shareState is the state that SharePosition needs to compute positions.
type shareState struct {
	silent      map[string]silentMember // routers removed from the membership list, by name
	maxSize     int                     // maximum number of routers known or reported
	grownAt     time.Time               // when maxSize was increased last
	heartbeats  int                     // received since then
	sizeLearned bool
	positions   map[uint64]sharePosition // cache by key, valid while the routers stay the same
}

// maxCachedPositions bounds the number of keys whose positions are cached.
const maxCachedPositions = 1024

// sharePosition is the router's rank in the order for a key, and the number of routers.
type sharePosition struct{ rank, routers int }

// silentMember is a router that fell silent and was removed from the membership list.
type silentMember struct {
	hash    uint64
	address string
	last    time.Time // when its last heartbeat was received
}

// SharePosition returns the router's rank in an order of all routers that they compute alike for a key,
// and the number of routers. Silent routers keep their ranks, since they may only be partitioned
// off. Routers that others know and this one does not are assumed to precede it. known is whether
// the number of routers is reliable: after a start, a router whose seeds name others first has to
// learn it.
func (n *Node) SharePosition(key uint64) (rank, routers int, known bool) {
	return n.members.sharePosition(key, *n.seeds.Load())
}

// sharePosition implements Node.SharePosition.
func (m *members) sharePosition(key uint64, seeds []string) (rank, routers int, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.shares.positions[key]
	if !ok {
		p = m.computePosition(key)
		m.cachePosition(key, p)
	}
	return p.rank, p.routers, m.learnedSize(seeds)
}

// cachePosition caches the position for a key until the routers change. The caller holds m.mu.
func (m *members) cachePosition(key uint64, p sharePosition) {
	if m.shares.positions == nil || len(m.shares.positions) >= maxCachedPositions {
		m.shares.positions = make(map[uint64]sharePosition)
	}
	m.shares.positions[key] = p
}

// invalidate clears the cached positions, which depend on the names of the routers that are known
// or silent and on how many they know. The caller holds members.mu.
func (s *shareState) invalidate() { s.positions = nil }

// computePosition computes the position for a key. The caller holds m.mu.
func (m *members) computePosition(key uint64) sharePosition {
	own := placing.Score(key, m.hash)
	rank, reported := 0, 0
	for _, peer := range m.known {
		reported = max(reported, peer.routers)
		if placing.Score(key, peer.hash) < own {
			rank++
		}
	}
	routers := len(m.known) + 1
	for name, silent := range m.shares.silent {
		if _, known := m.known[name]; known {
			continue
		}
		routers++
		if placing.Score(key, silent.hash) < own {
			rank++
		}
	}
	missing := max(reported-routers, 0)
	return sharePosition{rank: rank + missing, routers: routers + missing}
}

// learnedSize reports whether this router knows how many routers there are. The caller holds m.mu.
func (m *members) learnedSize(seeds []string) bool {
	shares := &m.shares
	if shares.sizeLearned {
		return true
	}
	needed, others := m.requiredSeeds(seeds)
	if !others && len(m.known) == 0 {
		shares.sizeLearned = true // a router that joins later reports how many it knows
		return true
	}
	steady := shares.heartbeats >= learnHeartbeats && m.clock.Now().Sub(shares.grownAt) >= learnTime
	shares.sizeLearned = steady && m.seedsReceived(seeds) >= needed
	return shares.sizeLearned
}

// requiredSeeds returns the number of seeds from which a heartbeat has to be received: at least
// half of them, this router included, so that routers that start in a partitioned fleet form at
// most two groups. A seed without an IP address is not counted, since its heartbeats cannot be
// recognised. others is whether the seeds name any other router.
func (m *members) requiredSeeds(seeds []string) (needed int, others bool) {
	count, self := 0, 0
	for _, seed := range seeds {
		if seed == m.self.Address {
			self = 1
		} else {
			others = true
		}
		if _, err := netip.ParseAddrPort(seed); err == nil {
			count++
		}
	}
	return (count+1)/2 - self, others
}

// seedsReceived returns the number of seeds from which a heartbeat was received. The caller holds
// m.mu.
func (m *members) seedsReceived(seeds []string) int {
	received := 0
	for _, peer := range m.known {
		if !peer.lastHeartbeat.IsZero() && slices.Contains(seeds, peer.Address) {
			received++
		}
	}
	for _, silent := range m.shares.silent {
		if slices.Contains(seeds, silent.address) {
			received++
		}
	}
	return received
}

// recordSize updates maxSize after a heartbeat that reported a number of routers. The caller holds
// m.mu.
func (m *members) recordSize(reported int) {
	shares := &m.shares
	if size := max(len(m.known)+1, reported); size > shares.maxSize {
		shares.maxSize, shares.grownAt, shares.heartbeats = size, m.clock.Now(), 0
		return
	}
	shares.heartbeats++
}

// rememberSilent retains a removed router's position in the order of SharePosition, unless it stopped or
// never sent a heartbeat. The caller holds m.mu.
func (m *members) rememberSilent(name string, peer *member) {
	if !peer.stopping && !peer.lastHeartbeat.IsZero() {
		m.shares.silent[name] = silentMember{hash: peer.hash, address: peer.Address, last: peer.lastHeartbeat}
	}
}

// expireSilent removes the retained positions of routers that send heartbeats again or were silent
// for longer than silentRetention. The caller holds m.mu.
func (m *members) expireSilent(now time.Time) {
	for name, silent := range m.shares.silent {
		peer := m.known[name]
		if peer != nil && !peer.lastHeartbeat.IsZero() || now.Sub(silent.last) > silentRetention {
			delete(m.shares.silent, name)
			m.shares.invalidate()
		}
	}
}
