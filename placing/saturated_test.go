package placing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulateSaturation simulates routers that get more requests than the replicas can run, and know
// outdated loads of the replicas. It returns the share of the requests that reach a replica above the
// limit. With saturated set, the routers use all replicas once few have free slots.
func simulateSaturation(saturated bool) float64 {
	const (
		replicaCount, slots = 140, 12
		step                = 10 * time.Millisecond
		steps, warmUp       = 800, 200
		rate                = 13.5 // requests per step; the replicas run 13 when all slots are taken
		requestSteps        = 130  // that a request takes at a replica that is not full
		reportShare         = 0.02 // share of the replicas that report their load in a step
		multiple            = 2
	)
	rnd := rand.New(rand.NewPCG(1, 2))
	held, known := make([]int, replicaCount), make([]int, replicaCount)
	ends := make([][]int, steps*10) // for each step, the replicas at which a request ends
	sum, sent, above := 0, 0, 0
	for i := range steps {
		for _, r := range ends[i] {
			held[r]--
			sum--
		}
		for r := range held {
			if rnd.Float64() < reportShare {
				known[r] = held[r]
			}
		}
		for range int(rate + rnd.Float64()) {
			var free, all []Candidate
			for r := range held {
				c := Candidate{Hash: uint32(r), Load: known[r], Slots: slots}
				all = append(all, c)
				if known[r] < slots {
					free = append(free, c)
				}
			}
			p := Prompt{Key: rnd.Uint64(), MaxLoadFactor: multiple}
			if saturated && Saturated(len(free), len(all)) {
				p.Saturated, free = true, all
			}
			c, ok := p.Choose(free)
			if !ok {
				continue
			}
			r := free[c.Index].Hash
			if i >= warmUp {
				sent++
				if float64(held[r]) > multiple*float64(sum)/replicaCount+3 {
					above++
				}
			}
			held[r]++
			sum++
			end := i + requestSteps*max(held[r], slots)/slots
			ends[end] = append(ends[end], int(r))
		}
	}
	return float64(above) / float64(sent)
}

// TestSaturatedReplicasShareTheLoad guards against replicas above the limit while nearly all are full:
// by outdated reports all routers find the same few with free slots.
func TestSaturatedReplicasShareTheLoad(t *testing.T) {
	const allowed = 0.03
	if share := simulateSaturation(true); share > allowed {
		t.Errorf("%.3f of the requests reach replicas above the limit, want at most %v", share, allowed)
	}
	if share := simulateSaturation(false); share <= allowed {
		t.Errorf("%.3f of the requests reach replicas above the limit among those with free slots: the load is too low for the test", share)
	}
}
