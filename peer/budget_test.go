package peer

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

func TestByteBudgetShedsLowPrioritiesFirst(t *testing.T) {
	clock := newFakeClock()
	b := newByteBudget(clock, 1000) // a burst is 4000 bytes
	admitted := func() []bool {
		return []bool{b.admits(priorityVital), b.admits(priorityFetch), b.admits(priorityOther)}
	}
	steps := []struct {
		name  string
		spend int
		pass  time.Duration
		want  []bool
	}{
		{"full", 0, 0, []bool{true, true, true}},
		{"under half", 2100, 0, []bool{true, true, false}},
		{"overdrawn", 2000, 0, []bool{true, false, false}},
		{"a second later", 0, time.Second, []bool{true, true, false}},
		{"much later", 0, time.Hour, []bool{true, true, true}},
		{"far overdrawn", 1 << 30, 0, []bool{true, false, false}},
		{"a burst later", 0, burstDuration, []bool{true, true, false}},
	}
	for _, s := range steps {
		b.spend(s.spend)
		clock.advance(s.pass)
		if diff := cmp.Diff(s.want, admitted()); diff != "" {
			t.Errorf("%s: vital, fetch, other (-want +got):\n%s", s.name, diff)
		}
	}
}

func TestKindPriorities(t *testing.T) {
	tests := map[Kind]priority{
		KindHeartbeat: priorityVital, KindLeaving: priorityVital, KindAsk: priorityVital, KindReturn: priorityVital, KindReport: priorityVital,
		KindGrant: priorityVital, KindPlaced: priorityVital, KindDelta: priorityVital, KindFetch: priorityFetch, KindHealth: priorityOther,
	}
	for kind, want := range tests {
		if diff := cmp.Diff(want, kind.priority()); diff != "" {
			t.Errorf("priority of kind %d (-want +got):\n%s", kind, diff)
		}
	}
}

func TestShedMessagesFailAndAreCounted(t *testing.T) {
	const kindProbe Kind = 79
	a := startNode(t, "a", 1, listen(t, ""), func(n *Node) { n.BytesPerSecond = 100 })
	b := startNode(t, "b", 1, listen(t, ""), func(n *Node) {
		n.Handle(kindProbe, func(context.Context, peridotusher.RouterID, []byte) ([]byte, error) { return nil, nil })
	})
	introduce(t, a, b)
	a.traffic.budget.spend(1 << 20)
	err := a.Call(testContext(t), "b", kindProbe, &Heartbeat{}, nil)
	if !errors.Is(err, errOverBudget) {
		t.Errorf("error %v, want %v", err, errOverBudget)
	}
	if diff := cmp.Diff(uint64(1), a.Counts().Shed[kindProbe]); diff != "" {
		t.Errorf("messages shed (-want +got):\n%s", diff)
	}
	if _, err := a.Ask(testContext(t), "b", peridotusher.Ask{}); err != nil {
		t.Errorf("permit request over the budget failed: %v", err)
	}
}

// TestHeartbeatBytesStayWithinShare computes the bytes per second for several
// sizes of the fleet. At maxHeartbeatTicks the limit is the full budget.
func TestHeartbeatBytesStayWithinShare(t *testing.T) {
	n := &Node{HeartbeatInterval: 500 * time.Millisecond, BytesPerSecond: 6000}
	for _, sessions := range []int{1, 7, 50, 120, 369} {
		const size = 60
		ticks := n.heartbeatTicks(sessions, size)
		rate := float64(sessions*(size+muxOverheadBytes)) / (float64(ticks) * n.HeartbeatInterval.Seconds())
		limit := heartbeatShare * float64(n.BytesPerSecond)
		if ticks == maxHeartbeatTicks {
			limit = float64(n.BytesPerSecond)
		}
		if rate > limit {
			t.Errorf("%d sessions: %.0f bytes per second, want at most %.0f", sessions, rate, limit)
		}
		t.Logf("%d sessions: a heartbeat every %v, %.0f bytes per second", sessions, time.Duration(ticks)*n.HeartbeatInterval, rate)
	}
}

// TestMixedVersions checks that routers one version apart connect and that routers
// two versions apart refuse each other.
func TestMixedVersions(t *testing.T) {
	var nodes []*testNode
	for i, version := range []uint32{1, 2, 3} {
		id := peridotusher.RouterID([]string{"old", "mid", "new"}[i])
		nodes = append(nodes, startNode(t, id, 1, listen(t, ""), func(n *Node) { n.Version = version }))
	}
	introduce(t, nodes[1], nodes[0], nodes[2])
	if _, err := nodes[0].Ask(testContext(t), "mid", peridotusher.Ask{}); err != nil {
		t.Error(err)
	}
	if _, err := nodes[2].Ask(testContext(t), "mid", peridotusher.Ask{}); err != nil {
		t.Error(err)
	}
	nodes[0].Members.Propose([]peridotusher.Member{nodes[2].Self})
	var refused *VersionError
	eventually(t, "versions that differ by two are refused", func() bool {
		return errors.As(nodes[0].dials.lastError(nodes[2].Self.Address()), &refused)
	})
	if diff := cmp.Diff(SideSelf, refused.OutdatedSide()); diff != "" {
		t.Errorf("side to upgrade (-want +got):\n%s", diff)
	}
}
