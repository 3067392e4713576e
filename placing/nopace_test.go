package placing

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// chooseCallBefore and choosePromptBefore are copies of the code from before replicas reported
// their pace.
func chooseCallBefore(c Call, candidates []Candidate) Choice {
	best := -1
	var bestLoad float64
	var bestScore uint64
	for i, cand := range candidates {
		load := float64(cand.Load) / float64(max(cand.Slots, 1))
		if cand.Zone != c.Zone {
			load += 0.34
		}
		score := replicaScore(c.Seed, cand.Hash)
		if best < 0 || load < bestLoad || load == bestLoad && score > bestScore {
			best, bestLoad, bestScore = i, load, score
		}
	}
	return Choice{Index: best, Reason: ReasonLeastLoaded, MeanLoad: meanLoad(candidates)}
}

func choosePromptBefore(p Prompt, candidates []Candidate) Choice {
	mean := meanLoad(candidates)
	holder, home := -1, -1
	var homeScore uint64
	for i, c := range candidates {
		if c.Load >= c.Slots {
			continue
		}
		if slices.Contains(p.Holders, c.Hash) {
			if float64(c.Load+1) <= 0.95*p.MaxLoadFactor*mean+2.5 && p.lessLoaded(candidates, i, holder) {
				holder = i
			}
			continue
		}
		score := replicaScore(p.Key, c.Hash)
		hasCapacity := float64(c.Load+1) <= 0.7*p.MaxLoadFactor*mean+2 && c.Prefill <= 12000
		if hasCapacity && (home < 0 || score > homeScore) {
			home, homeScore = i, score
		}
	}
	choice := Choice{MeanLoad: mean}
	switch {
	case holder >= 0:
		choice.Index, choice.Reason = holder, ReasonHolder
	case home >= 0:
		choice.Index, choice.Reason = home, ReasonHome
	default:
		choice.Index, choice.Reason = p.leastLoaded(candidates), ReasonLeastLoaded
	}
	return choice
}

// TestChoicesWithoutPace guards against a change of the choices where no replica reports its
// pace. For prompts, the choices must be the same also where replicas do.
func TestChoicesWithoutPace(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 7))
	reasons := map[string]int{}
	for range 50000 {
		var candidates []Candidate
		var holders []uint32
		maxHeld := 1 + rnd.IntN(40)
		for range 1 + rnd.IntN(12) {
			c := Candidate{
				Hash: rnd.Uint32(), Zone: string(rune('a' + rnd.IntN(3))), Load: rnd.IntN(maxHeld), Slots: rnd.IntN(33),
				Prefill: float64(rnd.IntN(3) * rnd.IntN(10000)),
			}
			candidates = append(candidates, c)
			if rnd.IntN(4) == 0 {
				holders = append(holders, c.Hash)
			}
		}
		usual := LatencyTracker{}
		call := Call{Zone: "a", Seed: rnd.Uint64(), Latency: usual.Latency("s"), Tokens: rnd.IntN(2000)}
		got, ok := call.Choose(candidates)
		if diff := cmp.Diff(chooseCallBefore(call, candidates), got); diff != "" || !ok {
			t.Fatalf("call %+v among %+v (-before +now):\n%s", call, candidates, diff)
		}
		prompt := Prompt{Key: rnd.Uint64(), MaxLoadFactor: 1 + 2*rnd.Float64(), Holders: holders}
		for i := range candidates {
			candidates[i].Pace = 8 * rnd.Float64()
		}
		got, ok = prompt.Choose(candidates)
		if diff := cmp.Diff(choosePromptBefore(prompt, candidates), got); diff != "" || !ok {
			t.Fatalf("prompt %+v among %+v (-before +now):\n%s", prompt, candidates, diff)
		}
		reasons[got.Reason]++
	}
	if len(reasons) != 3 {
		t.Errorf("reasons %v, so this test does not cover each of the three", reasons)
	}
}
