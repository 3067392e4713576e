package peridotusher

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// removalTimeouts is the number of timeouts after which a silent member is removed.
const removalTimeouts = 3

// Members is the table of the fleet's routers as this router sees them.
//
// Four sources are merged: the platform's list proposes members, heartbeats and
// digests decide their state, and a leaving notice applies to one incarnation.
//   - The platform's list adds addresses to send to. It makes no member live,
//     and it removes only members that never sent a heartbeat.
//   - A heartbeat makes its sender live and removes any older incarnation with
//     the same ID or address. A heartbeat of an older incarnation is ignored.
//   - A leaving notice marks the incarnation known at that moment. Heartbeats of
//     that incarnation keep it leaving; a higher incarnation is live again.
//   - A digest lists the members of another zone from which a router of that zone
//     receives heartbeats. It counts as a heartbeat of each member in it. A member
//     that is in no current digest and sent no heartbeat to this router within the
//     timeout is suspect as soon as a digest of its zone arrives. A digest is
//     current for the timeout; without one, its members count as silent.
//   - A member that is silent for the timeout is suspect. After three timeouts
//     it is removed, or proposed again while the list has it.
//
// The table's own router is always a member and is never suspect.
type Members struct {
	clock Clock
	self  RouterID

	mu       sync.Mutex
	version  uint64
	members  map[RouterID]*memberEntry
	listed   map[RouterID]Member
	rankings map[rankKey][]RouterID
	digests  map[RouterID]digest // the latest digest of each origin
}

// memberEntry is one member with the time of the last heartbeat that it sent to this
// router, and the later of that and the last digest with the member (lastAlive).
type memberEntry struct {
	Member
	lastAlive     time.Time
	lastHeartbeat time.Time
}

// NewMembers returns a table that holds only self, which is live.
func NewMembers(self Member, clock Clock) *Members {
	t := &Members{
		clock:    clock,
		self:     self.id,
		version:  1,
		members:  make(map[RouterID]*memberEntry),
		listed:   make(map[RouterID]Member),
		rankings: make(map[rankKey][]RouterID),
		digests:  make(map[RouterID]digest),
	}
	t.members[self.id] = &memberEntry{Member: self.WithState(MemberLive)}
	return t
}

// Propose replaces the platform's list of proposed members.
func (t *Members) Propose(list []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = make(map[RouterID]Member, len(list))
	for _, m := range list {
		t.listed[m.id] = m.WithState(MemberProposed)
	}
	for id, e := range t.members {
		_, ok := t.listed[id]
		if e.state == MemberProposed && !ok {
			t.remove(id)
		}
	}
	for _, m := range t.listed {
		t.propose(m)
	}
}

// propose adds a listed member, unless its ID or address is already that of a
// member that sent a heartbeat.
func (t *Members) propose(m Member) {
	if t.usesAddress(m.address) {
		return
	}
	e, ok := t.members[m.id]
	if ok && (e.state != MemberProposed || e.Member == m) {
		return
	}
	t.put(m, time.Time{})
}

// usesAddress reports whether a member that sent a heartbeat has the address.
func (t *Members) usesAddress(address string) bool {
	for _, e := range t.members {
		if e.address == address && e.state != MemberProposed {
			return true
		}
	}
	return false
}

// ReceiveHeartbeat records a heartbeat and reports whether it was accepted. A member with
// the state MemberLeaving is recorded as leaving, any other as live.
func (t *Members) ReceiveHeartbeat(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.recordAlive(m) {
		return false
	}
	t.members[m.id].lastHeartbeat = t.clock.Now()
	return true
}

// recordAlive records that a member is alive and reports whether it accepted the
// member's incarnation.
func (t *Members) recordAlive(m Member) bool {
	if !t.isNewest(m) {
		return false
	}
	if m.state != MemberLeaving {
		m.state = MemberLive
	}
	for id, e := range t.members {
		if id != m.id && e.address == m.address {
			t.remove(id)
		}
	}
	e, ok := t.members[m.id]
	if ok && e.incarnation == m.incarnation && e.state == MemberLeaving {
		m.state = MemberLeaving
	}
	if ok && e.Member == m {
		e.lastAlive = t.clock.Now()
		return true
	}
	t.put(m, t.clock.Now())
	return true
}

// isNewest reports whether m has neither the ID nor the address of the table's own
// router, nor those of a member with a later incarnation.
func (t *Members) isNewest(m Member) bool {
	for id, e := range t.members {
		if id != m.id && e.address != m.address {
			continue
		}
		if id == t.self {
			return false
		}
		if e.state != MemberProposed && e.incarnation > m.incarnation {
			return false
		}
	}
	return true
}

// MarkLeaving records that a member announced its shutdown.
func (t *Members) MarkLeaving(id RouterID) {
	t.setState(id, MemberLeaving)
}

// MarkSuspect records that a member refuses connections. It is suspect until its next
// heartbeat.
func (t *Members) MarkSuspect(id RouterID) {
	if id == t.self {
		return
	}
	t.setState(id, MemberSuspect)
}

// setState changes the state of a member that sent a heartbeat.
func (t *Members) setState(id RouterID, s MemberState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.members[id]
	if !ok || e.state == MemberProposed || e.state == s {
		return
	}
	t.put(e.WithState(s), e.lastAlive)
}

// Expire marks the members that were silent for the timeout as suspect and removes
// those that were silent for removalTimeouts timeouts.
func (t *Members) Expire(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expireDigests(now, timeout)
	for id, e := range t.members {
		if id == t.self || e.state == MemberProposed {
			continue
		}
		silence := now.Sub(e.lastAlive)
		switch {
		case silence >= removalTimeouts*timeout:
			t.removeSilent(id)
		case silence >= timeout && e.state != MemberSuspect:
			t.put(e.WithState(MemberSuspect), e.lastAlive)
		}
	}
}

// removeSilent removes a member, or proposes it again while the list has it.
func (t *Members) removeSilent(id RouterID) {
	t.remove(id)
	if m, ok := t.listed[id]; ok {
		t.propose(m)
	}
}

// put stores a changed member.
func (t *Members) put(m Member, lastAlive time.Time) {
	e := &memberEntry{Member: m, lastAlive: lastAlive}
	if old, ok := t.members[m.id]; ok && old.incarnation == m.incarnation {
		e.lastHeartbeat = old.lastHeartbeat
	}
	t.members[m.id] = e
	t.recordChange()
}

// remove deletes a member.
func (t *Members) remove(id RouterID) {
	delete(t.members, id)
	t.recordChange()
}

// recordChange increments the version and drops the cached rankings.
func (t *Members) recordChange() {
	t.version++
	clear(t.rankings)
}

// Live returns the live members of a zone, sorted by ID. Leaving members are not live.
func (t *Members) Live(zone Zone) []Member {
	return slices.DeleteFunc(t.All(), func(m Member) bool {
		return m.zone != zone || m.state != MemberLive
	})
}

// All returns all members, sorted by ID.
func (t *Members) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Member, 0, len(t.members))
	for _, e := range t.members {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.id, b.id) })
	return all
}

// Targets returns all members with the addresses to dial, sorted by ID. The address
// in the platform's list has precedence over the one that the member advertises,
// because it may be specific to this zone.
func (t *Members) Targets() []Member {
	all := t.All()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, m := range all {
		if listed, ok := t.listed[m.id]; ok {
			all[i].address = listed.address
		}
	}
	return all
}

// Len returns the number of members.
func (t *Members) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
}

// Get returns the member with the ID.
func (t *Members) Get(id RouterID) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.members[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Version returns a number that is incremented by each change of a member.
func (t *Members) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}
