package placing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestEstimate guards against an estimate that ignores the pace, the load, the zone or the
// prompt.
func TestEstimate(t *testing.T) {
	const ms = time.Millisecond
	plain := Usual{First: 50 * ms, Whole: 50 * ms}
	model := Usual{First: 20 * ms, Whole: 2 * time.Second}
	tests := []struct {
		name      string
		usual     Usual
		tokens    int
		c         Candidate
		low, high time.Duration
	}{
		{"idle", plain, 0, Candidate{Slots: 6}, 50 * ms, 51 * ms},
		{"idle, pace of 1", plain, 0, Candidate{Slots: 6, Pace: 1}, 50 * ms, 51 * ms},
		{"idle, slow", plain, 0, Candidate{Slots: 6, Pace: 8}, 400 * ms, 405 * ms},
		{"idle, another zone", plain, 0, Candidate{Slots: 6, Zone: "b", Pace: 8}, 404 * ms, 409 * ms},
		{"half of the slots taken", plain, 0, Candidate{Slots: 6, Held: 3}, 50 * ms, 53 * ms},
		{"all slots taken", plain, 0, Candidate{Slots: 6, Held: 6}, 60 * ms, 70 * ms},
		{"twice as many requests as slots", plain, 0, Candidate{Slots: 6, Held: 12}, 105 * ms, 115 * ms},
		{"twice as many requests as slots, slow", plain, 0, Candidate{Slots: 6, Held: 12, Pace: 8}, 840 * ms, 920 * ms},
		{"model with free slots", model, 0, Candidate{Slots: 64, Held: 32}, 20 * ms, 21 * ms},
		{"model without free slots", model, 0, Candidate{Slots: 64, Held: 96}, time.Second, 1100 * ms},
		{"prompt to read", model, 4800, Candidate{Slots: 64}, 120 * ms, 121 * ms},
		{"prompt to read after another one", model, 4800, Candidate{Slots: 64, Prefill: 9600}, 320 * ms, 321 * ms},
		{"prompt to read after another one, slow", model, 4800, Candidate{Slots: 64, Prefill: 9600, Pace: 2}, 640 * ms, 642 * ms},
		{"zero slots", plain, 0, Candidate{}, 50 * ms, 90 * ms},
	}
	for _, tt := range tests {
		e := Estimate{Zone: "a", Usual: tt.usual, Tokens: tt.tokens}
		if tt.c.Zone == "" {
			tt.c.Zone = "a"
		}
		if got := e.FirstByte(tt.c); got < tt.low || got > tt.high {
			t.Errorf("%s: %v, want %v to %v", tt.name, got, tt.low, tt.high)
		}
	}
}

// TestNormalizedLatency guards against recorded latencies that still include the effects of a
// replica's pace, its load, the prompt or another zone.
func TestNormalizedLatency(t *testing.T) {
	rnd := rand.New(rand.NewPCG(8, 8))
	for range 1000 {
		usual := Usual{First: time.Duration(1 + rnd.IntN(1e9)), Whole: time.Duration(1 + rnd.IntN(1e10))}
		e := Estimate{Zone: "a", Usual: usual, Tokens: rnd.IntN(20000)}
		c := Candidate{
			Zone: string(rune('a' + rnd.IntN(2))), Held: rnd.IntN(20), Slots: 1 + rnd.IntN(16),
			Prefill: 1000 * rnd.Float64(), Pace: 8 * rnd.Float64(),
		}
		got := e.Observe(c, e.FirstByte(c), e.FirstByte(c))
		if off := (got.First - usual.First).Abs(); off > time.Microsecond {
			t.Fatalf("%+v at %+v: first byte %v, want %v", e, c, got.First, usual.First)
		}
	}
}

// TestAverageLatency guards against an average that follows a single request or becomes 0, and
// against an unbounded number of services.
func TestAverageLatency(t *testing.T) {
	const usual = 80 * time.Millisecond
	var u UsualTimes
	if got := u.Of("s"); got.First != defaultLatency || got.Whole != defaultLatency {
		t.Errorf("latency %+v before a request, want %v", got, defaultLatency)
	}
	for range 100 {
		u.Learn("s", Usual{First: usual, Whole: 2 * usual})
	}
	if got := u.Of("s"); (got.First-usual).Abs() > time.Millisecond || (got.Whole-2*usual).Abs() > time.Millisecond {
		t.Errorf("latency %+v, want %v and twice that", got, usual)
	}
	u.Learn("s", Usual{First: 9 * usual, Whole: 9 * usual})
	if got := u.Of("s"); got.First > 2*usual {
		t.Errorf("latency %v after a single slow request, want near %v", got.First, usual)
	}
	for range 200 {
		u.Learn("s", Usual{})
	}
	if got := u.Of("s"); got.First < minLatency {
		t.Errorf("latency %v, want at least %v", got.First, minLatency)
	}
	for i := range 2 * maxServices {
		u.Learn(string(rune(i)), Usual{First: usual})
	}
	if n := len(u.services); n > maxServices {
		t.Errorf("%d services are recorded, want at most %d", n, maxServices)
	}
}

// TestEstimateIsFinite guards against infinite, negative and NaN waits, whose costs cannot be
// compared.
func TestEstimateIsFinite(t *testing.T) {
	for _, c := range []Candidate{
		{}, {Held: math.MaxInt32, Slots: 1, Pace: 100}, {Held: 0, Slots: math.MaxInt32, Pace: 1e-3}, {Held: -5, Slots: -5},
	} {
		if w := waitForSlot(c); math.IsNaN(w) || math.IsInf(w, 0) || w < 0 {
			t.Errorf("wait %v at %+v", w, c)
		}
	}
}
