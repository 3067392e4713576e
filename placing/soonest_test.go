package placing

import (
	"math/rand/v2"
	"testing"
	"time"
)

const typicalLatency = 50 * time.Millisecond

// shares returns the share of calls that goes to each candidate.
func shares(candidates []Candidate) []float64 {
	const calls = 20000
	rnd := rand.New(rand.NewPCG(9, 9))
	out := make([]float64, len(candidates))
	for range calls {
		c, _ := Call{
			Zone: "a", Seed: rnd.Uint64(), Latency: Latency{FirstByte: typicalLatency, Total: typicalLatency},
		}.Choose(candidates)
		out[c.Index] += 1.0 / calls
	}
	return out
}

// TestShares guards against many calls going to a slow replica, against a replica that never
// gets any, and against all calls going to one of two nearly equal replicas.
func TestShares(t *testing.T) {
	idle := func(zone string, hash uint32, pace float64) Candidate {
		return Candidate{Hash: hash, Zone: zone, Slots: 6, Pace: pace}
	}
	held := func(c Candidate, n int) Candidate {
		c.Load = n
		return c
	}
	tests := []struct {
		name       string
		candidates []Candidate
		low, high  float64 // bounds of the second candidate's share
	}{
		{"second slow", []Candidate{idle("a", 1, 1), idle("a", 2, 8)}, 0.001, 0.05},
		{"second slow, but in the router's zone", []Candidate{idle("b", 1, 1), idle("a", 2, 8)}, 0.001, 0.05},
		{"second recovered", []Candidate{idle("a", 1, 1), idle("a", 2, 1)}, 0.45, 0.55},
		{"second nearly recovered", []Candidate{idle("a", 1, 1), idle("a", 2, 1.05)}, 0.30, 0.45},
		{"second reports no pace", []Candidate{idle("a", 1, 1), idle("a", 2, 0)}, 0.45, 0.55},
		{"second in another zone", []Candidate{idle("a", 1, 1), idle("b", 2, 1)}, 0, 0.01},
		{"second slightly faster with a higher load", []Candidate{held(idle("a", 1, 1), 1), held(idle("a", 2, 0.8), 4)}, 0, 0.15},
		{"first faster with a high load", []Candidate{held(idle("a", 1, 1), 30), idle("a", 2, 2)}, 0.6, 1},
	}
	for _, tt := range tests {
		if got := shares(tt.candidates)[1]; got < tt.low || got > tt.high {
			t.Errorf("%s: %.4f of the calls, want %.3f to %.3f", tt.name, got, tt.low, tt.high)
		}
	}
}

// TestDrawIsDeterministic guards against different choices for the same request and candidates.
func TestDrawIsDeterministic(t *testing.T) {
	candidates := []Candidate{
		{Hash: 1, Slots: 6, Pace: 1}, {Hash: 2, Slots: 6, Pace: 1}, {Hash: 3, Slots: 6, Pace: 1.1},
	}
	for spread := range uint64(200) {
		call := Call{Seed: spread * 0x9e3779b97f4a7c15}
		first, _ := call.Choose(candidates)
		if again, _ := call.Choose(candidates); again != first {
			t.Fatalf("request %d: %+v, then %+v", spread, first, again)
		}
		if first.Expected <= 0 || first.Reason != ReasonSoonest {
			t.Fatalf("choice %+v, want an expected time", first)
		}
	}
}
