package peer

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

func TestCrashedNodeIsSuspect(t *testing.T) {
	a := startNode(t, "a", 1, listen(t, ""), nil)
	b := startNode(t, "b", 1, listen(t, ""), nil)
	introduce(t, a, b)
	b.stop()
	eventually(t, "the session is closed after the crash", func() bool { return len(a.PeerStates()) == 0 })
	a.clock.advance(testTimeout)
	eventually(t, "b is suspect", func() bool { return a.stateOf("b") == "suspect" })
	_, err := a.Ask(testContext(t), "b", peridotusher.Ask{})
	var link *ConnectionError
	if !errors.As(err, &link) {
		t.Fatalf("permit request to a stopped router: error %v, want a *LinkError", err)
	}
	if diff := cmp.Diff(false, link.Sent()); diff != "" {
		t.Errorf("Sent (-want +got):\n%s", diff)
	}
}

func TestSilentSessionIsClosed(t *testing.T) {
	a := startNode(t, "a", 1, listen(t, ""), nil)
	silent := listen(t, "")
	defer silent.Close()
	member := peridotusher.NewMember("b", "north", silent.Addr().String(), 1)
	a.Members.Propose([]peridotusher.Member{member})
	conn, err := silent.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	b := newIdleNode(member)
	established, _, err := b.handshake(conn, false)
	if err != nil {
		t.Fatal(err)
	}
	mux, _, err := b.openStreams(established, false)
	if err != nil {
		t.Fatal(err)
	}
	defer mux.Close()
	eventually(t, "the session is established", func() bool { return a.stateOf("b") == "live" })
	a.clock.advance(testTimeout)
	eventually(t, "b is suspect", func() bool { return a.stateOf("b") == "suspect" })
	a.clock.advance(testTimeout) // yamux may acknowledge the streams after the first advance
	eventually(t, "the session is closed", mux.IsClosed)
}

// newIdleNode returns a node that is not running and so sends no heartbeats.
func newIdleNode(self peridotusher.Member) *Node {
	n := &Node{Self: self, SuspectTimeout: testTimeout}
	n.once.Do(n.init)
	return n
}

func TestRouterReplacedAtSameAddress(t *testing.T) {
	a := startNode(t, "a", 1, listen(t, ""), nil)
	b := startNode(t, "b", 1, listen(t, ""), nil)
	introduce(t, a, b)
	address := b.Self.Address()
	b.stop()
	c := startNode(t, "c", 2, listen(t, address), nil)
	eventually(t, "c is live and b is removed", func() bool {
		a.clock.advance(testHeartbeat) // lets the backoff before the next dial end
		return a.stateOf("c") == "live" && a.stateOf("b") == "unknown"
	})
	if _, err := a.Ask(testContext(t), c.Self.ID(), peridotusher.Ask{}); err != nil {
		t.Errorf("permit request to the replacement: %v", err)
	}
}

func TestLeavingNotice(t *testing.T) {
	a := startNode(t, "a", 1, listen(t, ""), nil)
	b := startNode(t, "b", 1, listen(t, ""), nil)
	introduce(t, a, b)
	if err := b.AnnounceLeaving(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("leaving", a.stateOf("b")); diff != "" {
		t.Errorf("state of b (-want +got):\n%s", diff)
	}
	owner, _ := a.Members.OwnerOf("engine", "north")
	if diff := cmp.Diff(peridotusher.RouterID("a"), owner); diff != "" {
		t.Errorf("owner (-want +got):\n%s", diff)
	}
}

func TestVersionRefused(t *testing.T) {
	tests := []struct {
		name             string
		version, oldest  uint32 // of b; a speaks 5 and accepts 4
		wantAtA, wantAtB Side
	}{
		{"b too old", 3, 3, SidePeer, SideSelf},
		{"a too old", 7, 6, SideSelf, SidePeer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := startNode(t, "a", 1, listen(t, ""), func(n *Node) { n.version, n.oldest = 5, 4 })
			b := startNode(t, "b", 1, listen(t, ""), func(n *Node) { n.version, n.oldest = tt.version, tt.oldest })
			a.Members.Propose([]peridotusher.Member{b.Self})
			b.Members.Propose([]peridotusher.Member{a.Self})
			got := []Side{refusal(t, a, "b"), refusal(t, b, "a")}
			if diff := cmp.Diff([]Side{tt.wantAtA, tt.wantAtB}, got); diff != "" {
				t.Errorf("side to upgrade, as seen by a and b (-want +got):\n%s", diff)
			}
		})
	}
}

// refusal waits until calls fail with a VersionError and returns the side to
// upgrade.
func refusal(t *testing.T, n *testNode, to peridotusher.RouterID) Side {
	t.Helper()
	var refused *VersionError
	eventually(t, "the version is refused", func() bool {
		_, err := n.Ask(testContext(t), to, peridotusher.Ask{})
		return errors.As(err, &refused)
	})
	return refused.OutdatedSide()
}

func TestDuplicateSessionsKeepSmallerDialer(t *testing.T) {
	members := map[peridotusher.RouterID]peridotusher.Member{
		"a": peridotusher.NewMember("a", "north", "127.0.0.1:1", 1),
		"b": peridotusher.NewMember("b", "north", "127.0.0.1:2", 1),
	}
	for _, self := range []peridotusher.RouterID{"a", "b"} {
		for _, order := range [][]peridotusher.RouterID{{"a", "b"}, {"b", "a"}} {
			other := peridotusher.RouterID("a")
			if self == "a" {
				other = "b"
			}
			table := newSessionTable(self)
			for _, dialer := range order {
				conn, _ := net.Pipe()
				counted := newCountedConn(conn, newTraffic(newByteBudget(newFakeClock(), 0)), newFakeClock())
				table.add(newSession(members[other], dialer, counted, newTraffic(newByteBudget(newFakeClock(), 0))))
			}
			kept, _ := table.get(other)
			if diff := cmp.Diff(peridotusher.RouterID("a"), kept.dialer); diff != "" {
				t.Errorf("dialer of the session kept by %s after sessions dialled by %v (-want +got):\n%s", self, order, diff)
			}
		}
	}
}
