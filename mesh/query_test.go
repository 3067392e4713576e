package mesh

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
)

// newFleet returns one node for each of the zones. The nodes know each other but do not run.
func newFleet(clock peridotusher.Clock, zones ...string) []*Node {
	var nodes []*Node
	for i, zone := range zones {
		name := fmt.Sprint("r", i)
		n := &Node{Self: Member{Name: name, Zone: zone, Address: name + ":1", Incarnation: 1}, State: &testState{}, Clock: clock, Log: discard{}}
		n.Init()
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		for _, other := range nodes {
			n.members.receive(&Heartbeat{Member: other.Self, RouterCount: len(nodes), Format: format})
		}
	}
	return nodes
}

// indexOwnerNames returns the routers that the node queries for a part.
func indexOwnerNames(n *Node, key uint64) []string {
	var names []string
	for _, owner := range n.members.queryable(key) {
		names = append(names, owner.name)
	}
	return names
}

// TestRoutersAgreeOnIndexOwners has all routers of a fleet compute the index owners of parts: they
// agree, the parts are evenly distributed, and when the first owner stops the second one replaces it.
func TestRoutersAgreeOnIndexOwners(t *testing.T) {
	const fleet, keys = 40, 400
	clock := peridotusher.ClockFunc(func() time.Time { return time.Unix(1000, 0) })
	nodes := newFleet(clock, make([]string, fleet)...)
	share := map[string]int{}
	for key := range uint64(keys) {
		key *= 0x9e3779b97f4a7c15
		want := indexOwnerNames(nodes[0], key)
		if len(want) != indexOwnerCount {
			t.Fatalf("%d index owners of a part", len(want))
		}
		for _, n := range nodes[1:] {
			if diff := cmp.Diff(want, indexOwnerNames(n, key)); diff != "" {
				t.Fatalf("index owners at two routers (-want +got):\n%s", diff)
			}
		}
		share[want[0]]++
	}
	for name, n := range share {
		if n > 2*keys/fleet {
			t.Errorf("%s is queried for %d of %d parts", name, n, keys)
		}
	}
	// A router that has received no heartbeats of the others agrees with those that have.
	newcomer := &Node{Self: nodes[0].Self, Clock: clock}
	newcomer.Init()
	for _, n := range nodes {
		newcomer.AddMember(n.Self)
	}
	for key := range uint64(keys) {
		if diff := cmp.Diff(indexOwnerNames(nodes[0], key), indexOwnerNames(newcomer, key)); diff != "" {
			t.Fatalf("index owners at a newcomer (-want +got):\n%s", diff)
		}
	}
	const key = 12345
	before := indexOwnerNames(nodes[0], key)
	for _, n := range nodes {
		n.members.receive(&Heartbeat{Member: Member{Name: before[0], Address: "x:1", Incarnation: 1}, RouterCount: fleet, Format: format, Stopping: true})
	}
	for _, n := range nodes {
		if after := indexOwnerNames(n, key); n.Self.Name != before[0] && after[0] != before[1] {
			t.Errorf("after the stop of %s %s is queried, want %s", before[0], after[0], before[1])
		}
	}
}

// TestSilentIndexOwnersAreSkipped has routers leave queries unanswered: such a router is not queried for
// skipTime, and after two unanswered queries to another zone no router of that zone is.
func TestSilentIndexOwnersAreSkipped(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := peridotusher.ClockFunc(func() time.Time { return now })
	n := newFleet(clock, "a", "a", "b", "b", "b", "b")[0]
	queried := func() map[string]bool {
		all := map[string]bool{}
		for key := range uint64(400) {
			for _, name := range indexOwnerNames(n, key*0x9e3779b97f4a7c15) {
				all[name] = true
			}
		}
		return all
	}
	steps := []struct {
		name string
		do   func()
		want map[string]bool
	}{
		{"all are queried", func() {}, map[string]bool{"r0": true, "r1": true, "r2": true, "r3": true, "r4": true, "r5": true}},
		{"one does not answer", func() { n.members.markUnanswered("r2") }, map[string]bool{"r0": true, "r1": true, "r3": true, "r4": true, "r5": true}},
		{"another one answers", func() { n.members.markAnswered("r3") }, map[string]bool{"r0": true, "r1": true, "r3": true, "r4": true, "r5": true}},
		{"two more do not answer", func() { n.members.markUnanswered("r3"); n.members.markUnanswered("r4") }, map[string]bool{"r0": true, "r1": true}},
		{"one of the same zone does not answer", func() { n.members.markUnanswered("r1") }, map[string]bool{"r0": true}},
		{"skipTime has passed", func() { now = now.Add(skipTime); receiveAll(n) }, map[string]bool{"r0": true, "r1": true, "r2": true, "r3": true, "r4": true, "r5": true}},
	}
	const key = 12345
	owners := n.members.indexOwners(key)
	for _, s := range steps {
		s.do()
		if diff := cmp.Diff(s.want, queried()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", s.name, diff)
		}
		if diff := cmp.Diff(owners, n.members.indexOwners(key), cmp.AllowUnexported(indexOwner{})); diff != "" {
			t.Errorf("%s: routers that receive placements (-want +got):\n%s", s.name, diff)
		}
	}
}

// receiveAll has the node receive a heartbeat of each router that it knows.
func receiveAll(n *Node) {
	for _, peer := range n.members.known {
		n.members.receive(&Heartbeat{Member: peer.Member, RouterCount: peer.routers, Format: format})
	}
}

// TestIndexOwnersAreQueried runs routers that know each other. A holder that one of them reports is
// found by another one at once, also after the first index owner has stopped.
func TestIndexOwnersAreQueried(t *testing.T) {
	const routers = 5
	ctx := t.Context()
	var running errgroup.Group
	nodes := make([]*Node, routers)
	stops := make([]context.CancelFunc, routers)
	for i := range nodes {
		l := listen(t)
		datagrams, err := net.ListenPacket("udp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		nodes[i] = &Node{Self: Member{Name: fmt.Sprint("r", i), Address: l.Addr().String(), Incarnation: 1}, State: &testState{},
			Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
		nodes[i].Init()
		nodes[i].SetSeeds([]string{nodes[0].Self.Address})
		var run context.Context
		run, stops[i] = context.WithCancel(ctx)
		running.Go(func() error { return nodes[i].Run(run, datagrams, l) })
	}
	defer func() {
		for _, stop := range stops {
			stop()
		}
		if err := running.Wait(); err != nil {
			t.Error(err)
		}
	}()
	waitFor(t, "the routers know each other", func() bool {
		for _, n := range nodes {
			if len(n.Alive()) != routers-1 {
				return false
			}
		}
		return true
	})
	const key, replica = 77, 9
	want := []placing.CacheHolder{{Replica: replica, Recent: 3, Reading: true}}
	first := indexOwnerNames(nodes[0], key)[0]
	querying, reporting := nodes[0], nodes[1]
	for _, n := range nodes {
		if n.Self.Name != first {
			querying, reporting = n, querying
		}
	}
	if got := querying.CacheHolders(ctx, key); len(got) != 0 {
		t.Errorf("holders of a part that was never placed: %v", got)
	}
	reporting.PublishPlacements(placing.SentToNewHolder, []placing.Placement{{Key: key, Replica: replica}})
	waitFor(t, "the holder is known", func() bool {
		return cmp.Equal(want, querying.CacheHolders(ctx, key))
	})
	for i, n := range nodes {
		if n.Self.Name == first {
			stops[i]()
		}
	}
	waitFor(t, "the first index owner is replaced and the holder is still known", func() bool {
		return indexOwnerNames(querying, key)[0] != first && cmp.Equal(want, querying.CacheHolders(ctx, key))
	})
}

// waitFor waits until holds returns true; what describes the condition.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("condition not met in time: %s", what)
}
