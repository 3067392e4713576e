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
		calls  bool          // whether a call waits for its reply
		closed bool
	}{
		"just used":         {age: idle / 2},
		"idle":              {age: idle, closed: true},
		"a call is waiting": {age: 2 * idle, calls: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := newFakeClock()
			s := idleSession(t, peridotusher.NewMember("b", "north", "", 1), "a", clock)
			if c.calls {
				s.expect()
			}
			clock.advance(c.age)
			s.closeIdle(clock.Now().Add(-idle))
			if s.ended() != c.closed {
				t.Errorf("closed = %v, want %v", s.ended(), c.closed)
			}
		})
	}
}

// A session is closed as idle, by this side or the other one, just after it was handed
// to an ask.
func TestAskMeetsAnIdleClose(t *testing.T) {
	f := startZones(t, 3, plain)
	f.allLive(t)
	n := f.nodes[0]
	far := f.find(t, func(o *testNode) bool {
		_, ok := n.sessions.get(o.Self.ID())
		return !ok && o.Self.Zone() != n.Self.Zone()
	})
	cases := []struct {
		handed bool
		cause  error
	}{
		{false, errIdle}, {true, errIdle}, {false, syscall.EPIPE}, {true, syscall.EPIPE}, {true, io.EOF},
	}
	for _, c := range cases {
		stale := idleSession(t, far.Self, n.Self.ID(), wallClock)
		stale.close(c.cause)
		n.sessions.add(stale)
		calls := 0
		err := n.over(testContext(t), far.Self.ID(), func(s *session) error {
			calls++
			if c.handed && calls == 1 {
				s = stale
			}
			return s.send(testContext(t), &Envelope{Kind: uint32(KindFacts)})
		})
		if err != nil {
			t.Errorf("closed for %v, handed %v: %v", c.cause, c.handed, err)
		}
	}
}

// idleSession returns a session that carries nothing.
func idleSession(t *testing.T, peer peridotusher.Member, dialer peridotusher.RouterID, clock peridotusher.Clock) *session {
	t.Helper()
	here, there := net.Pipe()
	t.Cleanup(func() {
		_ = here.Close()
		_ = there.Close()
	})
	counts := newTraffic(newBudget(clock, 0))
	return newSession(peer, dialer, newCountedConn(here, counts, clock), counts)
}

// TestDialWhoseSessionIsGone has dials end well, but the session that they made or found
// has ended before the message was sent, as when it was given up for an older one that
// the other side then closed as idle: the router is dialled again.
func TestDialWhoseSessionIsGone(t *testing.T) {
	self := peridotusher.NewMember("a", "east", "127.0.0.1:1", 1)
	far := peridotusher.NewMember("b", "north", "127.0.0.1:2", 1)
	n := &Node{Self: self, Members: peridotusher.NewMembers(self, wallClock), Clock: wallClock, Mesh: 1}
	n.once.Do(n.init)
	n.Members.Propose([]peridotusher.Member{self, far})
	n.Members.ReceiveHeartbeat(far)
	const gone = 2
	ctx, cancel := context.WithTimeout(testContext(t), time.Second)
	defer cancel()
	var dialler errgroup.Group
	dials := 0
	dialler.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case m := <-n.wanted:
				dials++
				if dials > gone {
					n.sessions.add(idleSession(t, far, self.ID(), wallClock))
				}
				n.dials.succeeded(m.Address(), far.ID())
				n.sessions.notify()
			}
		}
	})
	if _, err := n.reach(ctx, far.ID()); err != nil {
		t.Errorf("the router was not reached: %v", err)
	}
	cancel()
	if err := dialler.Wait(); err != nil || dials != gone+1 {
		t.Errorf("%d dials, want %d (%v)", dials, gone+1, err)
	}
}
