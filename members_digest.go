package peridotusher

import (
	"maps"
	"time"
)

// digest is the state of another zone as a router of it reported it.
type digest struct {
	zone     Zone
	received time.Time
	members  map[RouterID]bool
}

// Digest records the members of another zone from which origin, a router of it, receives heartbeats.
func (t *Members) Digest(origin RouterID, zone Zone, roster []Member, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	names := make(map[RouterID]bool, len(roster))
	for _, m := range roster {
		names[m.id] = true
		e, ok := t.members[m.id]
		if ok && e.Member == m && m.id != t.self {
			e.lastAlive = now
			continue
		}
		t.recordAlive(m)
	}
	t.digests[origin] = digest{zone: zone, received: now, members: names}
	t.expireDigests(now, timeout)
	t.suspectUnnamed(now, zone, timeout)
}

// suspectUnnamed marks the members of a zone that no digest names and that sent no
// heartbeat to this router lately.
func (t *Members) suspectUnnamed(now time.Time, zone Zone, timeout time.Duration) {
	for id, e := range t.members {
		known := e.state == MemberLive || e.state == MemberLeaving
		if id == t.self || e.zone != zone || !known || now.Sub(e.lastHeartbeat) < timeout || t.inDigest(id) {
			continue
		}
		t.put(e.WithState(MemberSuspect), e.lastAlive)
	}
}

// inDigest reports whether a digest names the member.
func (t *Members) inDigest(id RouterID) bool {
	for _, d := range t.digests {
		if d.members[id] {
			return true
		}
	}
	return false
}

// expireDigests drops the digests that are no longer fresh.
func (t *Members) expireDigests(now time.Time, timeout time.Duration) {
	maps.DeleteFunc(t.digests, func(_ RouterID, d digest) bool { return now.Sub(d.received) >= timeout })
}
