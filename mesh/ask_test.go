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

// fleetOf returns nodes of a zone each that have heard of each other; they do not run.
func fleetOf(clock peridotusher.Clock, zones ...string) []*Node {
	var nodes []*Node
	for i, zone := range zones {
		name := fmt.Sprint("r", i)
		n := &Node{Self: Member{Name: name, Zone: zone, Address: name + ":1", Incarnation: 1}, State: &testState{}, Clock: clock, Log: discard{}}
		n.Init()
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		for _, o := range nodes {
			n.members.hear(&Beat{Member: o.Self, Routers: len(nodes), Format: format})
		}
	}
	return nodes
}

// keeperNames returns the routers that are asked for a part.
func keeperNames(n *Node, key uint64) []string {
	var names []string
	for _, k := range n.members.askable(key) {
		names = append(names, k.name)
	}
	return names
}

// TestKeepersAreAgreedOn has all routers of a fleet compute who keeps track of a part:
// they agree, each router keeps its share, and one that stops hands its parts to the
// one that was second.
func TestKeepersAreAgreedOn(t *testing.T) {
	const fleet, keys = 40, 400
	clock := peridotusher.ClockFunc(func() time.Time { return time.Unix(1000, 0) })
	nodes := fleetOf(clock, make([]string, fleet)...)
	share := map[string]int{}
	for key := range uint64(keys) {
		key *= 0x9e3779b97f4a7c15
		want := keeperNames(nodes[0], key)
		if len(want) != keeperCount {
			t.Fatalf("%d routers keep track of a part", len(want))
		}
		for _, n := range nodes[1:] {
			if diff := cmp.Diff(want, keeperNames(n, key)); diff != "" {
				t.Fatalf("keepers at two routers (-want +got):\n%s", diff)
			}
		}
		share[want[0]]++
	}
	for name, n := range share {
		if n > 2*keys/fleet {
			t.Errorf("%s is asked for %d of %d parts", name, n, keys)
		}
	}
	// A router that was only told of the others agrees with those that heard them.
	newcomer := &Node{Self: nodes[0].Self, Clock: clock}
	newcomer.Init()
	for _, n := range nodes {
		newcomer.Know(n.Self)
	}
	for key := range uint64(keys) {
		if diff := cmp.Diff(keeperNames(nodes[0], key), keeperNames(newcomer, key)); diff != "" {
			t.Fatalf("keepers at a newcomer (-want +got):\n%s", diff)
		}
	}
	const key = 12345
	before := keeperNames(nodes[0], key)
	for _, n := range nodes {
		n.members.hear(&Beat{Member: Member{Name: before[0], Address: "x:1", Incarnation: 1}, Routers: fleet, Format: format, Stopping: true})
	}
	for _, n := range nodes {
		if after := keeperNames(n, key); n.Self.Name != before[0] && after[0] != before[1] {
			t.Errorf("after %s stops %s is asked, want %s", before[0], after[0], before[1])
		}
	}
}

// TestSilentKeepersArePassedOver has questions go unanswered: the router is asked
// nothing for a while, and after two in another zone none of that zone is.
func TestSilentKeepersArePassedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := peridotusher.ClockFunc(func() time.Time { return now })
	n := fleetOf(clock, "a", "a", "b", "b", "b", "b")[0]
	asked := func() map[string]bool {
		all := map[string]bool{}
		for key := range uint64(400) {
			for _, name := range keeperNames(n, key*0x9e3779b97f4a7c15) {
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
		{"all are asked", func() {}, map[string]bool{"r0": true, "r1": true, "r2": true, "r3": true, "r4": true, "r5": true}},
		{"one is silent", func() { n.members.missed("r2") }, map[string]bool{"r0": true, "r1": true, "r3": true, "r4": true, "r5": true}},
		{"another one answers", func() { n.members.answered("r3") }, map[string]bool{"r0": true, "r1": true, "r3": true, "r4": true, "r5": true}},
		{"two more are silent", func() { n.members.missed("r3"); n.members.missed("r4") }, map[string]bool{"r0": true, "r1": true}},
		{"one of the own zone is silent", func() { n.members.missed("r1") }, map[string]bool{"r0": true}},
		{"time has passed", func() { now = now.Add(mutedFor); hearAll(n) }, map[string]bool{"r0": true, "r1": true, "r2": true, "r3": true, "r4": true, "r5": true}},
	}
	const key = 12345
	told := n.members.keepers(key)
	for _, s := range steps {
		s.do()
		if diff := cmp.Diff(s.want, asked()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", s.name, diff)
		}
		if diff := cmp.Diff(told, n.members.keepers(key), cmp.AllowUnexported(keeper{})); diff != "" {
			t.Errorf("%s: told of placements (-want +got):\n%s", s.name, diff)
		}
	}
}

// hearAll has the node hear all that it knows once more.
func hearAll(n *Node) {
	for _, s := range n.members.known {
		n.members.hear(&Beat{Member: s.Member, Routers: s.routers, Format: format})
	}
}

// TestHoldersAreAsked runs routers that know each other. What one of them places is
// found by every other one at once, also when the router that is asked first is gone.
func TestHoldersAreAsked(t *testing.T) {
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
	want := []placing.Lent{{Replica: replica, Recent: 3, Reading: true}}
	first := keeperNames(nodes[0], key)[0]
	asker, placer := nodes[0], nodes[1]
	for _, n := range nodes {
		if n.Self.Name != first {
			asker, placer = n, asker
		}
	}
	if got := asker.Holders(ctx, key); len(got) != 0 {
		t.Errorf("a part that nobody has read is at %v", got)
	}
	placer.Placed(placing.New, []placing.Placement{{Key: key, Replica: replica}})
	waitFor(t, "the holder is known", func() bool {
		return cmp.Equal(want, asker.Holders(ctx, key))
	})
	for i, n := range nodes {
		if n.Self.Name == first {
			stops[i]()
		}
	}
	waitFor(t, "the first keeper is gone and the holder known", func() bool {
		return keeperNames(asker, key)[0] != first && cmp.Equal(want, asker.Holders(ctx, key))
	})
}

// waitFor waits until what is named holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}
