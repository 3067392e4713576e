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

// partsSource is a Source that only returns the parts of replicas.
type partsSource struct {
	Source
	parts map[string][]relay.Part
}

func (h partsSource) Parts(_ context.Context, address string) ([]relay.Part, error) {
	parts, ok := h.parts[address]
	if !ok {
		return nil, fmt.Errorf("no replica at %s", address)
	}
	return parts, nil
}

// modelReplicaCount is the number of replicas with a model.
const modelReplicaCount = 12

// TestLargeFleetIsNotQueried checks that no replica is queried when all routers of a very large
// fleet start at once.
func TestLargeFleetIsNotQueried(t *testing.T) {
	r := newFleet(t, 1)[0]
	var entries []replicas.Entry
	for i := range maxReplicasToQuery {
		entries = append(entries, replicas.Entry{ID: fmt.Sprint("n", i), Service: "model", Address: fmt.Sprint("n", i), Slots: 4, Revision: 1})
	}
	r.table.Merge(entries)
	if n := len(r.replicasToQuery(0, map[uint32]bool{})); n != 0 {
		t.Errorf("%d replicas are queried", n)
	}
}

// newFleet returns routers that know the same replicas with and without a model.
func newFleet(t *testing.T, n int) []*Router {
	t.Helper()
	doc := &routing.Document{Version: 1, Services: map[string]*routing.Service{
		"model": {RunsModel: true}, "plain": {},
	}}
	entries := []replicas.Entry{{ID: "p", Service: "plain", Address: "plain", Slots: 4, Revision: 1}}
	parts := map[string][]relay.Part{}
	for i := range modelReplicaCount {
		e := replicas.Entry{ID: fmt.Sprint("m", i), Service: "model", Address: fmt.Sprint("model", i), Slots: 4, Revision: 1}
		entries = append(entries, e)
		parts[e.Address] = []relay.Part{{ID: uint64(100 + i), Tokens: minPartTokens}, {ID: uint64(900 + i), Tokens: minPartTokens - 1}}
	}
	var fleet []*Router
	var seeds []string
	for i := range n {
		r := newTestRouter(t)
		r.node.Self = mesh.Member{Name: fmt.Sprint("r", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Incarnation: 1}
		r.node.Init()
		r.Source = partsSource{parts: parts}
		r.current.Offer(doc)
		r.table.Merge(entries)
		seeds = append(seeds, r.node.Self.Address)
		fleet = append(fleet, r)
	}
	for _, r := range fleet {
		r.node.SetSeeds(seeds[:min(n, 3)]) // as many as the platform configures
	}
	return fleet
}

// TestRoutersQueryInDifferentOrders checks that routers that start at once and do not know each
// other yet all query every replica, in different orders.
func TestRoutersQueryInDifferentOrders(t *testing.T) {
	first := map[string]bool{}
	for _, r := range newFleet(t, 5) {
		queried := map[uint32]bool{}
		out := r.replicasToQuery(0, queried)
		if len(out) != modelReplicaCount {
			t.Fatalf("%d replicas are queried, want %d", len(out), modelReplicaCount)
		}
		first[out[0].ID()] = true
		if again := r.replicasToQuery(0, queried); len(again) != 0 {
			t.Errorf("%d replicas are queried again", len(again))
		}
	}
	if len(first) < 3 {
		t.Errorf("the first replicas of five routers are %v", first)
	}
}

// TestReplicasAreDividedAmongRouters has more replicas than a router may query alone.
func TestReplicasAreDividedAmongRouters(t *testing.T) {
	const more = 5 * maxSoloQueries
	r := newFleet(t, 3)[0]
	var entries []replicas.Entry
	for i := range more {
		entries = append(entries, replicas.Entry{ID: fmt.Sprint("x", i), Service: "model", Address: "x", Slots: 4, Revision: 1})
	}
	r.table.Merge(entries)
	queried := map[uint32]bool{}
	if got := len(r.replicasToQuery(0, queried)); got != maxSoloQueries {
		t.Errorf("%d replicas are queried at first, want %d", got, maxSoloQueries)
	}
	if got := len(r.replicasToQuery(soloPhase/2, queried)); got != 0 {
		t.Errorf("%d more are queried in the solo phase", got)
	}
	if got := len(r.replicasToQuery(soloPhase, queried)); got != more+modelReplicaCount-maxSoloQueries {
		t.Errorf("%d more are queried by a router that knows no others, want %d", got, more+modelReplicaCount-maxSoloQueries)
	}
}

// TestKnownReplicasAreNotQueried checks that a router skips a replica whose parts are known and one
// that it has already queried.
func TestKnownReplicasAreNotQueried(t *testing.T) {
	r := newFleet(t, 5)[0]
	known, queried := replicas.HashOf("m3", 0), replicas.HashOf("m4", 0)
	r.directory.Merge(placing.Origin{Name: "r1", Incarnation: 1},
		placing.Delta{Placements: []placing.Placement{{Key: 1, Replica: known}}, Sequence: 1})
	if got := len(r.replicasToQuery(0, map[uint32]bool{queried: true})); got != modelReplicaCount-2 {
		t.Errorf("%d replicas are queried, want %d", got, modelReplicaCount-2)
	}
}

// TestPartsAreLearnedAfterFleetRestart starts all routers at once while the replicas keep running.
// The routers learn which replica holds which part, and a router that starts later fetches this
// from another router without querying replicas.
func TestPartsAreLearnedAfterFleetRestart(t *testing.T) {
	fleet := newFleet(t, 3)
	for _, r := range fleet {
		for _, replica := range r.replicasToQuery(0, map[uint32]bool{}) {
			r.queryParts(context.Background(), replica)
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
	lateRouter := newFleet(t, 1)[0]
	summary := mesh.Summary{Router: "r1", Configuration: 1, Digest: lateRouter.table.Digest(), Settled: true}
	if got := (state{lateRouter}).Compare(summary); got != mesh.PlacementsMissed {
		t.Errorf("a router that starts later lacks %v, want %v", got, mesh.PlacementsMissed)
	}
	answer := state{fleet[1]}.Respond(state{lateRouter}.Request(mesh.PlacementsMissed))
	if err := (state{lateRouter}).Apply(answer); err != nil {
		t.Fatal(err)
	}
	if got := (state{lateRouter}).Compare(summary); got != mesh.Fresh {
		t.Errorf("after it applied the state it lacks %v", got)
	}
	if again := lateRouter.replicasToQuery(time.Second, map[uint32]bool{}); len(again) != 0 {
		t.Errorf("it queries %d more replicas", len(again))
	}
	for i := range modelReplicaCount {
		want := []uint32{replicas.HashOf(fmt.Sprint("m", i), 0)}
		if diff := cmp.Diff(want, lateRouter.directory.Holders(uint64(100+i))); diff != "" {
			t.Errorf("holders of part %d (-want +got):\n%s", 100+i, diff)
		}
		if got := lateRouter.directory.Holders(uint64(900 + i)); len(got) > 0 {
			t.Errorf("the holders %v of a small part were recorded", got)
		}
	}
}

func TestSilentReplicaIsNotAHolder(t *testing.T) {
	r := newFleet(t, 1)[0]
	r.Source = partsSource{}
	for _, replica := range r.replicasToQuery(0, map[uint32]bool{}) {
		r.queryParts(context.Background(), replica)
		if replica.Alive(r.clock.Now()) || r.directory.HoldsAny(replica.Hash()) {
			t.Errorf("%s counts as alive or as a holder", replica.ID())
		}
	}
}
