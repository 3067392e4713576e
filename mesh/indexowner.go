package mesh

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotusher.example/peridotusher/placing"
)

const (
	// indexOwnerCount is the number of index owners of a part (a shared prompt prefix): the
	// second one replaces the first one when that stops or fails.
	indexOwnerCount = 2
	// skipTime is how long a router is not queried after it left a query unanswered.
	skipTime = 2 * time.Second
	// zoneUnansweredLimit is the number of successive unanswered queries to another zone after
	// which no router of that zone is queried for skipTime.
	zoneUnansweredLimit = 2
)

// indexOwner is a router that records which replicas hold a part. The address is empty for this
// router itself.
type indexOwner struct {
	name, address string
	score         uint64
}

// zoneQueries records whether the routers of another availability zone answer queries.
type zoneQueries struct {
	unanswered int       // unanswered queries since the last answer
	skipUntil  time.Time // until when the zone is not queried
}

// indexOwners returns the index owners of the part with the key: the first routers of the
// part's rendezvous order among those of this router's format that are alive and not
// stopping. Placements are also reported to owners that recently left a query unanswered,
// since other routers may reach them.
func (m *members) indexOwners(key uint64) []indexOwner {
	return m.firstOwners(key, func(*member, time.Time) bool { return true })
}

// queryable returns the routers to query for the part, in rendezvous order. Routers that
// recently left a query unanswered are excluded.
func (m *members) queryable(key uint64) []indexOwner {
	return m.firstOwners(key, func(peer *member, now time.Time) bool {
		return !now.Before(peer.skipUntil) && !now.Before(m.zones[peer.Zone].skipUntil)
	})
}

// firstOwners returns the first indexOwnerCount routers of the part's rendezvous order that
// qualify, among those of this router's format that are alive and not stopping. This router
// always qualifies.
func (m *members) firstOwners(key uint64, qualifies func(peer *member, now time.Time) bool) []indexOwner {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	first := []indexOwner{{name: m.self.Name, score: placing.Score(key, m.hash)}}
	for _, peer := range m.known {
		if peer.stopping || !m.isCandidate(peer, now) || !qualifies(peer, now) {
			continue
		}
		first = insertOwner(first, indexOwner{name: peer.Name, address: peer.Address, score: placing.Score(key, peer.hash)})
	}
	return first
}

// insertOwner inserts a router by its score, highest first, and truncates the list to
// indexOwnerCount.
func insertOwner(first []indexOwner, owner indexOwner) []indexOwner {
	at := slices.IndexFunc(first, func(other indexOwner) bool { return other.score < owner.score })
	if at < 0 {
		at = len(first)
	}
	if at >= indexOwnerCount {
		return first
	}
	first = slices.Insert(first, at, owner)
	return first[:min(len(first), indexOwnerCount)]
}

// isCandidate reports whether the router is alive and of this router's format, or was recently
// listed by another router: all routers have to agree on a part's index owners long before each
// has received a heartbeat from every other one.
func (m *members) isCandidate(peer *member, now time.Time) bool {
	if peer.lastHeartbeat.IsZero() {
		return now.Sub(peer.added) < m.aliveTime(peer)
	}
	return peer.format == format && m.isAlive(peer, now)
}

// nameHash returns the hash of a router's name for rendezvous orders.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }

// markAnswered records that a router answered a query.
func (m *members) markAnswered(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer, ok := m.known[name]; ok {
		peer.skipUntil = time.Time{}
		delete(m.zones, peer.Zone)
	}
}

// markUnanswered records that a router did not answer a query.
func (m *members) markUnanswered(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	peer, ok := m.known[name]
	if !ok {
		return
	}
	until := m.clock.Now().Add(skipTime)
	peer.skipUntil = until
	if peer.Zone == m.self.Zone {
		return
	}
	z := m.zones[peer.Zone]
	if z.unanswered++; z.unanswered >= zoneUnansweredLimit {
		z = zoneQueries{skipUntil: until}
	}
	m.zones[peer.Zone] = z
}
