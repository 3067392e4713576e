package peer

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
)

func TestIdleSessionIsClosedUnlessInUse(t *testing.T) {
	const idle = 10 * time.Second
	cases := map[string]struct {
		age    time.Duration // since the last message
		calls  bool          // whether a call is pending
		closed bool
	}{
		"just used":         {age: idle / 2},
		"idle":              {age: idle, closed: true},
		"a call is pending": {age: 2 * idle, calls: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := newFakeClock()
			s := idleSession(t, peridotusher.NewMember("b", "north", "", 1), "a", clock)
			if c.calls {
				s.registerCall()
			}
			clock.advance(c.age)
			s.drainIfIdle(clock.Now().Add(-idle))
			s.receiveDrained()
			if s.isClosed() != c.closed {
				t.Errorf("closed = %v, want %v", s.isClosed(), c.closed)
			}
		})
	}
}

// TestSendRetriesAfterIdleClose closes a session as idle, from either side, before or
// just after a caller has taken it to send a message.
func TestSendRetriesAfterIdleClose(t *testing.T) {
	f := startZones(t, 3, defaultSettings)
	f.waitAllLive(t)
	n := f.nodes[0]
	remote := f.find(t, func(o *testNode) bool {
		_, ok := n.sessions.get(o.Self.ID())
		return !ok && o.Self.Zone() != n.Self.Zone()
	})
	cases := []struct {
		taken bool
		cause error
	}{
		{false, errIdle}, {true, errIdle}, {false, syscall.EPIPE}, {true, syscall.EPIPE}, {true, io.EOF},
	}
	for _, c := range cases {
		stale := idleSession(t, remote.Self, n.Self.ID(), wallClock)
		stale.close(c.cause)
		n.sessions.add(stale)
		calls := 0
		err := n.withSession(testContext(t), remote.Self.ID(), func(s *session) error {
			calls++
			if c.taken && calls == 1 {
				s = stale
			}
			return s.send(testContext(t), &Envelope{Kind: uint32(KindFacts)})
		})
		if err != nil {
			t.Errorf("closed with %v, taken before the close %v: %v", c.cause, c.taken, err)
		}
	}
}

// idleSession returns a session on which nothing is sent or received.
func idleSession(t *testing.T, peer peridotusher.Member, dialer peridotusher.RouterID, clock peridotusher.Clock) *session {
	t.Helper()
	here, there := net.Pipe()
	t.Cleanup(func() {
		_ = here.Close()
		_ = there.Close()
	})
	counts := newTraffic(newByteBudget(clock, 0))
	return newSession(peer, dialer, newCountedConn(here, counts, clock), counts)
}

// TestRedialAfterSessionEndedBeforeUse checks that a router is dialled again if a dial
// succeeds but its session has ended before the message is sent. This happens when the
// session is dropped in favour of an older one that the other side then closes as idle.
func TestRedialAfterSessionEndedBeforeUse(t *testing.T) {
	self := peridotusher.NewMember("a", "east", "127.0.0.1:1", 1)
	remote := peridotusher.NewMember("b", "north", "127.0.0.1:2", 1)
	n := &Node{Self: self, Members: peridotusher.NewMembers(self, wallClock), Clock: wallClock, FullMeshLimit: 1}
	n.once.Do(n.init)
	n.Members.Propose([]peridotusher.Member{self, remote})
	n.Members.ReceiveHeartbeat(remote)
	const lostSessions = 2
	ctx, cancel := context.WithTimeout(testContext(t), time.Second)
	defer cancel()
	var dialler errgroup.Group
	dials := 0
	dialler.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case m := <-n.dialRequests:
				dials++
				if dials > lostSessions {
					n.sessions.add(idleSession(t, remote, self.ID(), wallClock))
				}
				n.dials.succeeded(m.Address(), remote.ID())
				n.sessions.notify()
			}
		}
	})
	if _, err := n.sessionOrDial(ctx, remote.ID()); err != nil {
		t.Errorf("the router was not reached: %v", err)
	}
	cancel()
	if err := dialler.Wait(); err != nil || dials != lostSessions+1 {
		t.Errorf("%d dials, want %d (%v)", dials, lostSessions+1, err)
	}
}
