package peer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

// sessionTable holds one session for each connected router.
type sessionTable struct {
	self peridotusher.RouterID

	mu       sync.Mutex
	sessions map[peridotusher.RouterID]*session
	changed  chan struct{} // closed and replaced when a session is added or a dial ends
}

func newSessionTable(self peridotusher.RouterID) *sessionTable {
	return &sessionTable{self: self, sessions: make(map[peridotusher.RouterID]*session), changed: make(chan struct{})}
}

// add registers a session and retires the one that it replaces. It reports false if
// the existing session is kept instead.
func (t *sessionTable) add(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.sessions[s.peer.ID()]
	if ok && old.usable() && !replaces(s, old) {
		return false
	}
	t.sessions[s.peer.ID()] = s
	t.notifyLocked()
	if ok {
		retire(old, s)
	}
	return true
}

// retire ends a session that another replaces. The calls that are pending on it
// complete, unless the peer's process was restarted.
func retire(old, s *session) {
	if s.peer.Incarnation() != old.peer.Incarnation() {
		old.close(errReplaced)
		return
	}
	old.drain(errReplaced)
}

// replaces reports whether a new session replaces an old one with the same
// router. Both routers reach the same decision: the later process wins, then the
// session dialled by the smaller ID, then the newer session.
func replaces(s, old *session) bool {
	if s.peer.Incarnation() != old.peer.Incarnation() {
		return s.peer.Incarnation() > old.peer.Incarnation()
	}
	return s.dialer <= old.dialer
}

// remove removes a session, unless another has replaced it.
func (t *sessionTable) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.peer.ID()] == s {
		delete(t.sessions, s.peer.ID())
	}
}

// get returns the session with a router that is open and does not drain.
func (t *sessionTable) get(id peridotusher.RouterID) (*session, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[id]
	if !ok || !s.usable() {
		return nil, false
	}
	return s, true
}

// all returns all sessions.
func (t *sessionTable) all() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.sessions))
}

// closeSilent closes the sessions on which nothing was received for the timeout.
func (t *sessionTable) closeSilent(now time.Time, timeout time.Duration) {
	for _, s := range t.all() {
		if now.Sub(s.lastReceived()) >= timeout {
			s.close(errSilent)
		}
	}
}

// closeAll closes every session.
func (t *sessionTable) closeAll() {
	for _, s := range t.all() {
		s.close(errSessionClosed)
	}
}

// changes returns a channel that closes when the next session is added or the
// next dial ends.
func (t *sessionTable) changes() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// notify wakes the callers that wait for a session.
func (t *sessionTable) notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notifyLocked()
}

func (t *sessionTable) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}
