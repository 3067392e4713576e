package peer

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
)

// startPair runs the routers a and b, which have one session, dialled by b.
func startPair(t *testing.T) (a, b *testNode) {
	t.Helper()
	a = startNode(t, "a", 1, listen(t, ""), nil)
	b = startNode(t, "b", 1, listen(t, ""), nil)
	introduce(t, b, a)
	return a, b
}

// askDuring has the caller request a permit and calls during while the owner decides.
func askDuring(t *testing.T, caller, owner *testNode, during func()) {
	t.Helper()
	owner.permits.blockAsks = make(chan struct{})
	var asking errgroup.Group
	asking.Go(func() error {
		_, err := caller.Ask(testContext(t), owner.Self.ID(), peridotusher.Ask{Engine: "engine-1"})
		return err
	})
	eventually(t, "the request arrives", func() bool { return owner.permits.asked() == 1 })
	during()
	close(owner.permits.blockAsks)
	if err := asking.Wait(); err != nil {
		t.Errorf("permit request of %s to %s: %v", caller.Self.ID(), owner.Self.ID(), err)
	}
}

// TestReplacedSessionCompletesCalls guards against calls that fail because both routers dialled each other.
func TestReplacedSessionCompletesCalls(t *testing.T) {
	for _, caller := range []peridotusher.RouterID{"a", "b"} {
		t.Run("call of "+string(caller), func(t *testing.T) {
			a, b := startPair(t)
			from, to := a, b
			if caller == "b" {
				from, to = b, a
			}
			old := []*session{currentSession(t, a, b), currentSession(t, b, a)}
			askDuring(t, from, to, func() {
				a.group.Go(func() error {
					a.dial(t.Context(), b.Self)
					return nil
				})
				for _, ends := range [][2]*testNode{{a, b}, {b, a}} {
					eventually(t, "the session is replaced", func() bool {
						s, ok := ends[0].sessions.get(ends[1].Self.ID())
						return ok && s.dialer == "a"
					})
				}
			})
			awaitClosed(t, old)
		})
	}
}

// TestRefusedSessionServesCalls guards against calls that fail on a session that the other router does not keep.
func TestRefusedSessionServesCalls(t *testing.T) {
	a := startNode(t, "a", 1, listen(t, ""), nil)
	b := startNode(t, "b", 1, listen(t, ""), nil)
	a.sessions.add(idleSession(t, b.Self, "a", a.clock))
	b.Members.Propose([]peridotusher.Member{a.Self})
	eventually(t, "b has a session", func() bool {
		_, ok := b.sessions.get("a")
		return ok
	})
	if _, err := b.Ask(testContext(t), "a", peridotusher.Ask{Engine: "engine-1"}); err != nil {
		t.Error(err)
	}
}

// TestIdleSessionCompletesCallsOfPeer guards against calls that fail because the peer drains the session as idle.
func TestIdleSessionCompletesCallsOfPeer(t *testing.T) {
	a, b := startPair(t)
	sessions := []*session{currentSession(t, a, b), currentSession(t, b, a)}
	askDuring(t, a, b, func() { sessions[1].drainIfIdle(b.clock.Now().Add(time.Hour)) })
	awaitClosed(t, sessions)
}

// TestDrainEndsWithoutPeer guards against sessions that stay open because an older peer does not know drains.
func TestDrainEndsWithoutPeer(t *testing.T) {
	s := idleSession(t, peridotusher.NewMember("b", "north", "", 1), "a", newFakeClock())
	s.drainTimeout = testHeartbeat
	s.drain(errIdle)
	s.awaitEnd()
	if !s.isClosed() {
		t.Error("the session is open")
	}
}

// currentSession returns the session that a node uses for another.
func currentSession(t *testing.T, n, other *testNode) *session {
	t.Helper()
	s, ok := n.sessions.get(other.Self.ID())
	if !ok {
		t.Fatalf("%s has no session with %s", n.Self.ID(), other.Self.ID())
	}
	return s
}

// awaitClosed waits until the sessions are closed.
func awaitClosed(t *testing.T, sessions []*session) {
	t.Helper()
	for _, s := range sessions {
		eventually(t, "the session is closed", s.isClosed)
	}
}
