package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/relay"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// holding is a source of which only the parts of replicas are asked.
type holding struct {
	Source
	parts map[string][]relay.Part
}

func (h holding) Parts(_ context.Context, address string) ([]relay.Part, error) {
	parts, ok := h.parts[address]
	if !ok {
		return nil, fmt.Errorf("nobody at %s", address)
	}
	return parts, nil
}

// modelReplicas is the number of replicas with a model.
const modelReplicas = 12

// TestManyReplicasAreNotAsked has all routers of a very large fleet start at once.
func TestManyReplicasAreNotAsked(t *testing.T) {
	r := newFleet(t, 1)[0]
	var entries []replicas.Entry
	for i := range askedMost {
		entries = append(entries, replicas.Entry{ID: fmt.Sprint("n", i), Service: "model", Address: fmt.Sprint("n", i), Slots: 4, Revision: 1})
	}
	r.table.Merge(entries)
	if n := len(r.toAsk(0, map[uint32]bool{})); n != 0 {
		t.Errorf("%d replicas are asked", n)
	}
}

// newFleet returns routers that know a list of replicas with and without a model.
func newFleet(t *testing.T, n int) []*Router {
	t.Helper()
	doc := &routing.Document{Version: 1, Services: map[string]*routing.Service{
		"model": {RunsModel: true}, "plain": {},
	}}
	entries := []replicas.Entry{{ID: "p", Service: "plain", Address: "plain", Slots: 4, Revision: 1}}
	parts := map[string][]relay.Part{}
	for i := range modelReplicas {
		e := replicas.Entry{ID: fmt.Sprint("m", i), Service: "model", Address: fmt.Sprint("model", i), Slots: 4, Revision: 1}
		entries = append(entries, e)
		parts[e.Address] = []relay.Part{{ID: uint64(100 + i), Tokens: partLeast}, {ID: uint64(900 + i), Tokens: partLeast - 1}}
	}
	var fleet []*Router
	var seeds []string
	for i := range n {
		r := newTestRouter(t)
		r.node.Self = mesh.Member{Name: fmt.Sprint("r", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Incarnation: 1}
		r.node.Init()
		r.Source = holding{parts: parts}
		r.current.Offer(doc)
		r.table.Merge(entries)
		seeds = append(seeds, r.node.Self.Address)
		fleet = append(fleet, r)
	}
	for _, r := range fleet {
		r.node.SetSeeds(seeds[:min(n, 3)]) // as many as the platform names
	}
	return fleet
}

// TestRoutersAskInOrdersOfTheirOwn starts all routers at once, none of which has
// heard of another: each asks all, beginning with other replicas.
func TestRoutersAskInOrdersOfTheirOwn(t *testing.T) {
	first := map[string]bool{}
	for _, r := range newFleet(t, 5) {
		asked := map[uint32]bool{}
		out := r.toAsk(0, asked)
		if len(out) != modelReplicas {
			t.Fatalf("%d replicas are asked, want %d", len(out), modelReplicas)
		}
		first[out[0].ID()] = true
		if again := r.toAsk(0, asked); len(again) != 0 {
			t.Errorf("%d replicas are asked again", len(again))
		}
	}
	if len(first) < 3 {
		t.Errorf("five routers begin with %v", first)
	}
}

// TestLargeFleetIsShared has more replicas than a router asks by itself.
func TestLargeFleetIsShared(t *testing.T) {
	const more = 5 * askAlone
	r := newFleet(t, 3)[0]
	var entries []replicas.Entry
	for i := range more {
		entries = append(entries, replicas.Entry{ID: fmt.Sprint("x", i), Service: "model", Address: "x", Slots: 4, Revision: 1})
	}
	r.table.Merge(entries)
	asked := map[uint32]bool{}
	if got := len(r.toAsk(0, asked)); got != askAlone {
		t.Errorf("%d replicas are asked at first, want %d", got, askAlone)
	}
	if got := len(r.toAsk(alone/2, asked)); got != 0 {
		t.Errorf("%d more are asked before other routers had time", got)
	}
	if got := len(r.toAsk(alone, asked)); got != more+modelReplicas-askAlone {
		t.Errorf("%d more are asked by a router that heard of no other, want %d", got, more+modelReplicas-askAlone)
	}
}

// TestKnownReplicasAreNotAsked has a router that knows of one replica and has asked
// another one.
func TestKnownReplicasAreNotAsked(t *testing.T) {
	r := newFleet(t, 5)[0]
	known, asked := replicas.HashOf("m3", 0), replicas.HashOf("m4", 0)
	r.directory.Merge(placing.Origin{Name: "r1", Incarnation: 1},
		placing.Delta{Placements: []placing.Placement{{Key: 1, Replica: known}}, Sequence: 1})
	if got := len(r.toAsk(0, map[uint32]bool{asked: true})); got != modelReplicas-2 {
		t.Errorf("%d replicas are asked, want %d", got, modelReplicas-2)
	}
}

// TestPartsAreKnownAfterAllRestart has all routers start at once while the
// replicas go on: the routers learn who holds what, and those that start later
// take it over without a question.
func TestPartsAreKnownAfterAllRestart(t *testing.T) {
	fleet := newFleet(t, 3)
	for _, r := range fleet {
		for _, replica := range r.toAsk(0, map[uint32]bool{}) {
			r.askParts(context.Background(), replica)
		}
	}
	for _, r := range fleet {
		for _, other := range fleet {
			if other != r {
				r.directory.Restore(state{other}.Respond(mesh.SyncRequest{Placements: true}).Placements)
			}
		}
		r.settled.Store(true)
	}
	late := newFleet(t, 1)[0]
	summary := mesh.Summary{Router: "r1", Configuration: 1, Digest: late.table.Digest(), Settled: true}
	if got := (state{late}).Compare(summary); got != mesh.PlacementsMissed {
		t.Errorf("a router that starts later lacks %v, want %v", got, mesh.PlacementsMissed)
	}
	answer := state{fleet[1]}.Respond(state{late}.Request(mesh.PlacementsMissed))
	if err := (state{late}).Apply(answer); err != nil {
		t.Fatal(err)
	}
	if got := (state{late}).Compare(summary); got != mesh.Fresh {
		t.Errorf("after it took over a state it lacks %v", got)
	}
	if asks := late.toAsk(time.Second, map[uint32]bool{}); len(asks) != 0 {
		t.Errorf("it asks %d replicas more", len(asks))
	}
	for i := range modelReplicas {
		request := []uint32{replicas.HashOf(fmt.Sprint("m", i), 0)}
		if diff := cmp.Diff(request, late.directory.Holders(uint64(100+i))); diff != "" {
			t.Errorf("holders of part %d (-want +got):\n%s", 100+i, diff)
		}
		if got := late.directory.Holders(uint64(900 + i)); len(got) > 0 {
			t.Errorf("the holders %v of a small part were taken over", got)
		}
	}
}

func TestSilentReplicaIsNoHolder(t *testing.T) {
	r := newFleet(t, 1)[0]
	r.Source = holding{}
	for _, replica := range r.toAsk(0, map[uint32]bool{}) {
		r.askParts(context.Background(), replica)
		if replica.Alive(r.clock.Now()) || r.directory.HoldsAny(replica.Hash()) {
			t.Errorf("%s counts as answered", replica.ID())
		}
	}
}
