package mesh

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

// awaitAlive waits until all nodes know each other, for about 10 s at most.
func awaitAlive(nodes []*Node) {
	knowsAll := func(n *Node) bool { return len(n.Alive()) == len(nodes)-1 }
	for range 400 {
		if !slices.ContainsFunc(nodes, func(n *Node) bool { return !knowsAll(n) }) {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
}

// TestChangesArePublishedAtOnce has a router publish a change and delegate the read of the list of
// replicas: the others receive both without a wait for heartbeats.
func TestChangesArePublishedAtOnce(t *testing.T) {
	nodes, states := startNodes(t, 3)
	awaitAlive(nodes)
	change := sampleHeartbeat().Changes
	nodes[0].PublishChanges(change)
	nodes[0].Delegate("list", 0)
	nodes[0].PublishChanges(make([]replicas.Entry, maxUrgentArrivals+1)) // too many to forward at once
	nodes[0].Delegate("list", maxDelegateHops)
	time.Sleep(heartbeatInterval)
	for i, s := range states[1:] {
		s.mu.Lock()
		if diff := cmp.Diff(change, s.changes); diff != "" {
			t.Errorf("changes at router %d (-want +got):\n%s", i+1, diff)
		}
		if diff := cmp.Diff([]int{1}, s.delegated); diff != "" {
			t.Errorf("hops of delegations at router %d (-want +got):\n%s", i+1, diff)
		}
		s.mu.Unlock()
	}
}

// TestDeparturesAreAlwaysForwarded guards against a departure that is left to heartbeats because many
// replicas change at the same time.
func TestDeparturesAreAlwaysForwarded(t *testing.T) {
	tests := []struct {
		arrivals, departures int
		want                 int
	}{
		{maxUrgentArrivals, 0, maxUrgentArrivals},
		{maxUrgentArrivals + 1, 0, 0},
		{maxUrgentArrivals, 100, maxUrgentArrivals + 100},
		{maxUrgentArrivals + 1, 100, 100},
	}
	for _, tt := range tests {
		changes := make([]replicas.Entry, tt.arrivals+tt.departures)
		for i := range tt.departures {
			changes[i].Leaving = i%2 == 0
			changes[i].Removed = !changes[i].Leaving
		}
		if diff := cmp.Diff(tt.want, len(urgentChanges(changes))); diff != "" {
			t.Errorf("%d arrivals, %d departures: forwarded (-want +got):\n%s", tt.arrivals, tt.departures, diff)
		}
	}
}

// TestDelegationFollowsRanks checks that a task is delegated to the routers that follow by rank, and
// that RendezvousScore gives the same order as Rank.
func TestDelegationFollowsRanks(t *testing.T) {
	const fleet, topic = 12, "list"
	clock := peridotusher.ClockFunc(func() time.Time { return time.Unix(1000, 0) })
	nodes := newFleet(clock, make([]string, fleet)...)
	byRank := make([]*Node, fleet)
	for _, n := range nodes {
		byRank[n.Rank(topic)] = n
	}
	for rank, n := range byRank {
		var want []string
		for i := range delegateFanout {
			want = append(want, byRank[(rank+1+i)%fleet].Self.Address)
		}
		if diff := cmp.Diff(want, n.members.nextInOrder(topic, delegateFanout)); diff != "" {
			t.Errorf("routers after rank %d (-want +got):\n%s", rank, diff)
		}
		if rank > 0 && byRank[rank-1].RendezvousScore(topic) >= n.RendezvousScore(topic) {
			t.Errorf("ranks %d and %d have the places %d and %d", rank-1, rank, byRank[rank-1].RendezvousScore(topic), n.RendezvousScore(topic))
		}
	}
}

// TestChangesSpread simulates how a change spreads: each router that receives it forwards it to a few
// others at once. Most routers have it after some network delays, nearly all others after the next
// round of heartbeats.
func TestChangesSpread(t *testing.T) {
	const loss, delays, runs = 0.01, 6, 50
	for _, routers := range []int{8, 30, 100, 370, 1000} {
		m := newModel(routers, loss)
		atOnce, afterHeartbeats := 1.0, 1.0
		for range runs {
			received := map[int]bool{0: true}
			fresh := []int{0}
			for range delays {
				var next []int
				for _, from := range fresh {
					for _, to := range m.rnd.Perm(routers)[:min(changeFanout, routers)] {
						if to != from && !received[to] && m.rnd.Float64() >= loss {
							received[to] = true
							next = append(next, to)
						}
					}
				}
				fresh = next
			}
			atOnce = min(atOnce, float64(len(received))/float64(routers))
			m.spreadUpdate(received)
			afterHeartbeats = min(afterHeartbeats, float64(len(received))/float64(routers))
		}
		t.Logf("%4d routers: at least %.3f have the change after %d delays, %.4f after a round of heartbeats", routers, atOnce, delays, afterHeartbeats)
		if atOnce < 0.75 || afterHeartbeats < 0.995 {
			t.Errorf("%d routers: %.3f have the change at once, %.4f after a round of heartbeats", routers, atOnce, afterHeartbeats)
		}
	}
}
