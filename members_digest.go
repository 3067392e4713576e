package peridotusher

import (
	"maps"
	"time"
)

// digest is the list of another zone's live members as reported by a router of that zone.
type digest struct {
	zone     Zone
	received time.Time
	members  map[RouterID]bool
}

// ReceiveDigest records the members of another zone from which origin, a router of that zone,
// receives heartbeats.
func (t *Members) ReceiveDigest(origin RouterID, zone Zone, list []Member, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	members := make(map[RouterID]bool, len(list))
	for _, m := range list {
		members[m.id] = true
		e, ok := t.members[m.id]
		if ok && e.Member == m && m.id != t.self {
			e.lastAlive = now
			continue
		}
		t.recordAlive(m)
	}
	t.digests[origin] = digest{zone: zone, received: now, members: members}
	t.expireDigests(now, timeout)
	t.suspectUnnamed(now, zone, timeout)
}

// suspectUnnamed marks the members of a zone as suspect that are in no digest and sent
// no heartbeat to this router within the timeout.
func (t *Members) suspectUnnamed(now time.Time, zone Zone, timeout time.Duration) {
	for id, e := range t.members {
		known := e.state == MemberLive || e.state == MemberLeaving
		if id == t.self || e.zone != zone || !known || now.Sub(e.lastHeartbeat) < timeout || t.inDigest(id) {
			continue
		}
		t.put(e.WithState(MemberSuspect), e.lastAlive)
	}
}

// inDigest reports whether the member is in any digest.
func (t *Members) inDigest(id RouterID) bool {
	for _, d := range t.digests {
		if d.members[id] {
			return true
		}
	}
	return false
}

// expireDigests removes the digests that are older than the timeout.
func (t *Members) expireDigests(now time.Time, timeout time.Duration) {
	maps.DeleteFunc(t.digests, func(_ RouterID, d digest) bool { return now.Sub(d.received) >= timeout })
}
