package placing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulateHotPart simulates a part that becomes hot while many routers use the same outdated
// loads of the replicas. The routers get the part's holders from its index owner. With recent
// set, they also use the number of prompts with the part that were placed recently.
//
// It returns the share of the requests that reach a replica whose load is above the limit, and
// the number of replicas that read the part.
func simulateHotPart(recent bool) (aboveLimit float64, holders int) {
	const (
		replicaCount = 160
		step         = 10 * time.Millisecond
		loadDelay    = 75   // steps until routers know a load
		warmUp       = 200  // steps before the part becomes hot
		steps        = 800  // eight seconds
		rate         = 8.5  // requests per step
		hotShare     = 0.15 // share of the requests that have the part
		requestSteps = 130  // steps that a request takes
		multiple     = 2
		slots        = 32
		key          = 7
	)
	rnd := rand.New(rand.NewPCG(1, 2))
	clock := &fakeClock{time.Unix(100, 0)}
	indexOwner := NewDirectory(clock, Origin{Name: "r0", Incarnation: 1})
	held, sum := make([]int, replicaCount), 0
	ends := make([][]int, steps+requestSteps+1) // for each step, the replicas at which a request ends
	views := make([][]int, steps)               // for each step, the load of each replica
	sent, over := 0, 0
	for now := range steps {
		clock.now = clock.now.Add(step)
		for _, r := range ends[now] {
			held[r]--
			sum--
		}
		views[now] = slices.Clone(held)
		for range int(rate + rnd.Float64()) {
			p := Prompt{Key: rnd.Uint64(), MaxLoadFactor: multiple}
			cs := make([]Candidate, replicaCount)
			for i := range cs {
				cs[i] = Candidate{Hash: uint32(i + 1), Load: views[max(now-loadDelay, 0)][i], Slots: slots}
			}
			if now >= warmUp && rnd.Float64() < hotShare {
				p.Key = key
				for _, h := range indexOwner.TouchHolders(key) {
					p.Holders = append(p.Holders, h.Replica)
					if recent {
						AddRecent(cs, h)
					}
				}
			}
			c, _ := p.Choose(cs)
			if p.Key == key {
				indexOwner.Record(SentToHolder, []Placement{{key, cs[c.Index].Hash}})
			}
			sent++
			if float64(held[c.Index]) > multiple*float64(sum)/replicaCount+3 {
				over++
			}
			held[c.Index]++
			sum++
			ends[now+requestSteps] = append(ends[now+requestSteps], c.Index)
		}
	}
	return float64(over) / float64(sent), len(indexOwner.TouchHolders(key))
}

// TestHotPartWithDelayedLoads guards against routers that all send prompts with a hot part to
// the same holders until the holders' load reports show it.
func TestHotPartWithDelayedLoads(t *testing.T) {
	const maxAboveLimit = 0.03
	without, withoutHolders := simulateHotPart(false)
	with, withHolders := simulateHotPart(true)
	t.Logf("requests above the limit: %.3f with %d holders without recently placed prompts, %.3f with %d holders with them",
		without, withoutHolders, with, withHolders)
	if with > maxAboveLimit {
		t.Errorf("%.3f of the requests reach a replica above the limit, want at most %.3f", with, maxAboveLimit)
	}
	if without < 2*with {
		t.Errorf("without recently placed prompts it is %.3f, so the test does not show their effect", without)
	}
}

// TestOccasionalPromptsStayWithHolder has a holder whose load is at its limit. A few recent
// prompts with the part must not be added to its load; a burst must be.
func TestOccasionalPromptsStayWithHolder(t *testing.T) {
	for recent, want := range map[int]string{0: ReasonHolder, ignoredRecent: ReasonHolder, 3 * ignoredRecent: ReasonHome} {
		cs := newCandidates(18) // mean load of 4
		cs[6].Load = 8
		h := CacheHolder{Replica: cs[6].Hash, Recent: recent}
		AddRecent(cs, h)
		c, _ := Prompt{MaxLoadFactor: 2, Key: 99, Holders: []uint32{h.Replica}}.Choose(cs)
		if c.Reason != want {
			t.Errorf("with %d recent prompts the choice is %s, want %s", recent, c.Reason, want)
		}
	}
}
