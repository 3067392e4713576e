package peridotusher

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// forgetFactor is the number of timeouts after which a silent member is forgotten.
const forgetFactor = 3

// Members is the table of the fleet's routers as this router sees them.
//
// Four sources are merged by one rule: the list proposes, heartbeats and digests
// decide, and a leaving notice holds for one incarnation.
//   - The platform's list adds addresses to talk to. It makes no member live,
//     and it takes away only members that never sent a heartbeat.
//   - A heartbeat makes its sender live and removes any older incarnation with
//     the same ID or address. A heartbeat of an older incarnation is ignored.
//   - A leaving notice marks the incarnation known at that moment. Heartbeats of
//     that incarnation keep it leaving; a higher incarnation is live again.
//   - A digest, made by a router of another zone, counts as a heartbeat of each
//     member that it names. A member that no fresh digest of its zone names any
//     more, and of which no heartbeat was received within the timeout, is suspect at once.
//     Digests are fresh for the timeout; without one their members fall silent.
//   - A member that is silent for the timeout is suspect. After three timeouts
//     it is forgotten, or proposed again while the list names it.
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
	digests  map[RouterID]digest // the last of each origin
}

// memberEntry is one member with the times of its last heartbeat: its own, and
// the later of that and the last digest.
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

// Propose replaces the platform's list.
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

// ReceiveHeartbeat records a heartbeat and reports whether it was accepted. A member that
// comes with the state MemberLeaving is leaving, any other is live.
func (t *Members) ReceiveHeartbeat(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.recordAlive(m) {
		return false
	}
	t.members[m.id].lastHeartbeat = t.clock.Now()
	return true
}

// recordAlive records that a member is alive and reports whether it was accepted.
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

// isNewest reports whether no member with the ID or address of m is of a later
// incarnation, and neither is the table's own router.
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

// Leaving marks a member that announced its stop.
func (t *Members) Leaving(id RouterID) {
	t.setState(id, MemberLeaving)
}

// Suspect marks a member that refuses connections, until its next heartbeat.
func (t *Members) Suspect(id RouterID) {
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

// Expire marks the members that were silent for the timeout and forgets those
// that were silent for much longer.
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
		case silence >= forgetFactor*timeout:
			t.removeSilent(id)
		case silence >= timeout && e.state != MemberSuspect:
			t.put(e.WithState(MemberSuspect), e.lastAlive)
		}
	}
}

// removeSilent removes a member, or proposes it again while the list names it.
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

// recordChange raises the version and drops the rankings of the version before.
func (t *Members) recordChange() {
	t.version++
	clear(t.rankings)
}

// Live returns the live members of a zone, by ID. Leaving members are not live.
func (t *Members) Live(zone Zone) []Member {
	return slices.DeleteFunc(t.All(), func(m Member) bool {
		return m.zone != zone || m.state != MemberLive
	})
}

// All returns every member, by ID.
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

// Targets returns every member with the address to dial, by ID. While the
// platform's list names a member, its listed address goes before the one that
// the member advertises, because it may be specific to this zone.
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

// Version returns a number that rises with each change of a member.
func (t *Members) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}
