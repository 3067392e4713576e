package placing

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// newCandidates returns n replicas in three zones with a load of 4 requests each.
func newCandidates(n int) []Candidate {
	zones := []string{"a", "b", "c"}
	var cs []Candidate
	for i := range n {
		cs = append(cs, Candidate{Hash: uint32(i + 1), Zone: zones[i%3], Slots: 64, Load: 4})
	}
	return cs
}

// TestPromptsKeepTheirHome guards against a rendezvous order in which most prompts move to
// another replica when one departs.
func TestPromptsKeepTheirHome(t *testing.T) {
	cs := newCandidates(18)
	moved := 0
	for key := range uint64(1000) {
		before, _ := Prompt{MaxLoadFactor: 2, Key: key * 7919}.Choose(cs)
		after, _ := Prompt{MaxLoadFactor: 2, Key: key * 7919}.Choose(cs[1:])
		if cs[before.Index].Hash != cs[1:][after.Index].Hash {
			moved++
		}
	}
	if moved < 20 || moved > 100 {
		t.Errorf("%d of 1000 keys moved when one of 18 replicas left, want about 56", moved)
	}
}

func TestPromptStaysWithHolder(t *testing.T) {
	cs := newCandidates(18)
	p := Prompt{MaxLoadFactor: 2, Key: 99, Holders: []uint32{7}}
	if c, _ := p.Choose(cs); cs[c.Index].Hash != 7 || c.Reason != "holder" {
		t.Errorf("choice = %+v, want the replica that has the part cached", c)
	}
	cs[6].Load = 7 // the mean is a little over 4
	if c, _ := p.Choose(cs); cs[c.Index].Hash != 7 {
		t.Errorf("choice = %+v, want the holder, which has free capacity", c)
	}
	cs[6].Load = 10
	if c, _ := p.Choose(cs); cs[c.Index].Hash == 7 {
		t.Errorf("choice = %+v, want a replica other than the overloaded holder", c)
	}
}

// TestHomeIsFirstWithCapacity checks that a prompt goes to the first replica in the rendezvous
// order of its part, and to the second one if the first one has no free slots.
func TestHomeIsFirstWithCapacity(t *testing.T) {
	for key := range uint64(20) {
		cs := newCandidates(18)
		p := Prompt{MaxLoadFactor: 2, Key: key * 7919}
		order := make([]int, len(cs))
		for i := range cs {
			order[i] = i
		}
		slices.SortFunc(order, func(i, j int) int {
			a, b := replicaScore(p.Key, cs[i].Hash), replicaScore(p.Key, cs[j].Hash)
			if a > b {
				return -1
			}
			return 1
		})
		if c, _ := p.Choose(cs); c.Index != order[0] {
			t.Errorf("key %d: with equal loads the choice is %d, want the first one in the order, %d", key, c.Index, order[0])
		}
		cs[order[0]].Load = cs[order[0]].Slots
		if c, _ := p.Choose(cs); c.Index != order[1] {
			t.Errorf("key %d: with the first one full the choice is %d, want the second one, %d", key, c.Index, order[1])
		}
	}
}

func TestPromptSpreadsOverHolders(t *testing.T) {
	cs := newCandidates(18)
	p := Prompt{MaxLoadFactor: 2, Key: 99, Holders: []uint32{3, 9}}
	chosen := map[uint32]int{}
	for range 20 {
		c, _ := p.Choose(cs)
		cs[c.Index].Load++
		chosen[cs[c.Index].Hash]++
	}
	if chosen[3] == 0 || chosen[9] == 0 {
		t.Errorf("requests by replica = %v, want both holders used", chosen)
	}
}

func TestReplicaWithLongPromptsWaitingGetsNoNewPart(t *testing.T) {
	cs := newCandidates(18)
	p := Prompt{MaxLoadFactor: 2, Key: 99}
	home, _ := p.Choose(cs)
	cs[home.Index].Prefill = 2 * maxWaitingPrefill
	if next, _ := p.Choose(cs); next.Index == home.Index {
		t.Error("a replica at which long prompts wait was chosen to read one more")
	}
}

// TestHotPartStaysBelowLimit guards against a hot part that brings a replica above twice the
// mean load plus three.
func TestHotPartStaysBelowLimit(t *testing.T) {
	cs := newCandidates(18)
	var holders []uint32
	for range 60 {
		c, _ := Prompt{MaxLoadFactor: 2, Key: 5, Holders: holders}.Choose(cs)
		cs[c.Index].Load++
		if !slices.Contains(holders, cs[c.Index].Hash) {
			holders = append(holders, cs[c.Index].Hash)
		}
		if limit := 2*meanLoad(cs) + 3; float64(cs[c.Index].Load) > limit {
			t.Fatalf("a replica has %d requests, limit %.1f", cs[c.Index].Load, limit)
		}
	}
}

func TestPromptWithoutCapacity(t *testing.T) {
	cs := newCandidates(6)
	for i := range cs {
		cs[i].Load = 64
	}
	cs[4].Load = 63
	if c, ok := (Prompt{MaxLoadFactor: 2, Key: 1}).Choose(cs); !ok || c.Index != 4 {
		t.Errorf("choice = %+v, %v; want the replica with a free slot", c, ok)
	}
	if _, ok := (Prompt{MaxLoadFactor: 2}).Choose(nil); ok {
		t.Error("Choose returned a choice without candidates")
	}
}

func TestCallPrefersOwnZoneUntilLoaded(t *testing.T) {
	cs := []Candidate{{Hash: 1, Zone: "a", Slots: 6}, {Hash: 2, Zone: "b", Slots: 6}}
	if c, _ := (Call{Zone: "b"}).Choose(cs); c.Index != 1 {
		t.Errorf("idle: choice = %d, want the own zone", c.Index)
	}
	cs[1].Load = 3
	if c, _ := (Call{Zone: "b"}).Choose(cs); c.Index != 0 {
		t.Errorf("loaded: choice = %d, want the other zone", c.Index)
	}
}

func TestDirectory(t *testing.T) {
	now := time.Unix(100, 0)
	d := NewDirectory(peridotusher.ClockFunc(func() time.Time { return now }), Origin{Name: "r0", Incarnation: 1})
	select {
	case <-d.Queried():
		t.Error("Queried is closed before the first query")
	default:
	}
	d.Place(Placement{Key: 1, Replica: 10})
	d.Merge(Origin{Name: "r1", Incarnation: 1}, Delta{
		Placements: []Placement{{Key: 1, Replica: 11}, {Key: 2, Replica: 12}}, Sequence: 2,
	})
	if diff := cmp.Diff([]uint32{10, 11}, d.Holders(1)); diff != "" {
		t.Errorf("holders (-want +got):\n%s", diff)
	}
	<-d.Queried()                           // blocks if Holders has not closed the channel
	d.Place(Placement{Key: 1, Replica: 11}) // already recorded
	if diff := cmp.Diff(
		Delta{Placements: []Placement{{Key: 1, Replica: 10}}, Sequence: 1}, d.Recent(time.Second),
	); diff != "" {
		t.Errorf("recent placements (-want +got):\n%s", diff)
	}
	now = now.Add(2 * time.Second)
	if diff := cmp.Diff(Delta{Sequence: 1}, d.Recent(time.Second)); diff != "" {
		t.Errorf("recent placements 2 s later (-want +got):\n%s", diff)
	}
	now = now.Add(2 * cacheTTL)
	if got := d.Holders(1); len(got) != 0 {
		t.Errorf("holders after %v: %v", 2*cacheTTL, got)
	}
}

func TestDirectoryIsBounded(t *testing.T) {
	now := time.Unix(100, 0)
	d := NewDirectory(peridotusher.ClockFunc(func() time.Time { return now }), Origin{Name: "r0", Incarnation: 1})
	for key := range uint64(3 * maxParts) {
		d.Place(Placement{Key: key, Replica: uint32(key)})
	}
	if len(d.holders) > maxParts || len(d.partCounts) > maxParts {
		t.Errorf("%d parts at %d replicas are recorded, limit %d", len(d.holders), len(d.partCounts), maxParts)
	}
	if n := len(d.Recent(time.Second).Placements); n > maxRecentPlacements {
		t.Errorf("%d placements are published, limit %d", n, maxRecentPlacements)
	}
}

// TestMeanIncludesEvacuatedZone guards against replicas above the limit while a third of the
// service's replicas get no requests. These count for the mean, and the limit is a multiple of
// that.
func TestMeanIncludesEvacuatedZone(t *testing.T) {
	const initialLoad, excluded = 12, 6
	cs := newCandidates(12)
	for i := range cs {
		cs[i].Load = initialLoad
	}
	p := Prompt{Key: 99, MaxLoadFactor: 2, Holders: []uint32{cs[3].Hash}, Excluded: excluded}
	limit := p.MaxLoadFactor*float64(initialLoad*len(cs))/float64(len(cs)+excluded) + 3
	for range 200 {
		choice, _ := p.Choose(cs)
		cs[choice.Index].Load++
		cs[(choice.Index+1)%len(cs)].Load-- // another request ends
		if held := cs[choice.Index].Load; float64(held) > limit {
			t.Fatalf("a replica has %d requests, above the limit of %.1f", held, limit)
		}
	}
}

// TestEquallyLoadedReplicasShareRequests guards against one replica that gets the requests of all routers
// while no replica is below the limit.
func TestEquallyLoadedReplicasShareRequests(t *testing.T) {
	cs := newCandidates(18)
	for i := range cs {
		cs[i].Load = cs[i].Slots
	}
	chosen := make(map[int]int)
	for key := range uint64(1000) {
		c, _ := Prompt{MaxLoadFactor: 2, Key: key * 7919}.Choose(cs)
		chosen[c.Index]++
	}
	if diff := cmp.Diff(len(cs), len(chosen)); diff != "" {
		t.Errorf("replicas that get requests (-want +got):\n%s", diff)
	}
}
