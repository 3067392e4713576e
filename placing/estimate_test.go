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
	plain := Latency{FirstByte: 50 * ms, Total: 50 * ms}
	model := Latency{FirstByte: 20 * ms, Total: 2 * time.Second}
	tests := []struct {
		name      string
		usual     Latency
		tokens    int
		c         Candidate
		low, high time.Duration
	}{
		{"idle", plain, 0, Candidate{Slots: 6}, 50 * ms, 51 * ms},
		{"idle, pace of 1", plain, 0, Candidate{Slots: 6, Pace: 1}, 50 * ms, 51 * ms},
		{"idle, slow", plain, 0, Candidate{Slots: 6, Pace: 8}, 400 * ms, 405 * ms},
		{"idle, another zone", plain, 0, Candidate{Slots: 6, Zone: "b", Pace: 8}, 404 * ms, 409 * ms},
		{"half of the slots taken", plain, 0, Candidate{Slots: 6, Load: 3}, 50 * ms, 53 * ms},
		{"all slots taken", plain, 0, Candidate{Slots: 6, Load: 6}, 60 * ms, 70 * ms},
		{"twice as many requests as slots", plain, 0, Candidate{Slots: 6, Load: 12}, 105 * ms, 115 * ms},
		{"twice as many requests as slots, slow", plain, 0, Candidate{Slots: 6, Load: 12, Pace: 8}, 840 * ms, 920 * ms},
		{"model with free slots", model, 0, Candidate{Slots: 64, Load: 32}, 20 * ms, 21 * ms},
		{"model without free slots", model, 0, Candidate{Slots: 64, Load: 96}, time.Second, 1100 * ms},
		{"prompt to read", model, 4800, Candidate{Slots: 64}, 120 * ms, 121 * ms},
		{"prompt to read after another one", model, 4800, Candidate{Slots: 64, Prefill: 9600}, 320 * ms, 321 * ms},
		{"prompt to read after another one, slow", model, 4800, Candidate{Slots: 64, Prefill: 9600, Pace: 2}, 640 * ms, 642 * ms},
		{"zero slots", plain, 0, Candidate{}, 50 * ms, 90 * ms},
	}
	for _, tt := range tests {
		e := Estimate{Zone: "a", Latency: tt.usual, Tokens: tt.tokens}
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
		usual := Latency{FirstByte: time.Duration(1 + rnd.IntN(1e9)), Total: time.Duration(1 + rnd.IntN(1e10))}
		e := Estimate{Zone: "a", Latency: usual, Tokens: rnd.IntN(20000)}
		c := Candidate{
			Zone: string(rune('a' + rnd.IntN(2))), Load: rnd.IntN(20), Slots: 1 + rnd.IntN(16),
			Prefill: 1000 * rnd.Float64(), Pace: 8 * rnd.Float64(),
		}
		got := e.Normalize(c, e.FirstByte(c), e.FirstByte(c))
		if off := (got.FirstByte - usual.FirstByte).Abs(); off > time.Microsecond {
			t.Fatalf("%+v at %+v: first byte %v, want %v", e, c, got.FirstByte, usual.FirstByte)
		}
	}
}

// TestAverageLatency guards against an average that follows a single request or becomes 0, and
// against an unbounded number of services.
func TestAverageLatency(t *testing.T) {
	const usual = 80 * time.Millisecond
	var u LatencyTracker
	if got := u.Latency("s"); got.FirstByte != defaultLatency || got.Total != defaultLatency {
		t.Errorf("latency %+v before a request, want %v", got, defaultLatency)
	}
	for range 100 {
		u.Record("s", Latency{FirstByte: usual, Total: 2 * usual})
	}
	if got := u.Latency("s"); (got.FirstByte-usual).Abs() > time.Millisecond || (got.Total-2*usual).Abs() > time.Millisecond {
		t.Errorf("latency %+v, want %v and twice that", got, usual)
	}
	u.Record("s", Latency{FirstByte: 9 * usual, Total: 9 * usual})
	if got := u.Latency("s"); got.FirstByte > 2*usual {
		t.Errorf("latency %v after a single slow request, want near %v", got.FirstByte, usual)
	}
	for range 200 {
		u.Record("s", Latency{})
	}
	if got := u.Latency("s"); got.FirstByte < minLatency {
		t.Errorf("latency %v, want at least %v", got.FirstByte, minLatency)
	}
	for i := range 2 * maxServices {
		u.Record(string(rune(i)), Latency{FirstByte: usual})
	}
	if n := len(u.services); n > maxServices {
		t.Errorf("%d services are recorded, want at most %d", n, maxServices)
	}
}

// TestEstimateIsFinite guards against infinite, negative and NaN waits, whose costs cannot be
// compared.
func TestEstimateIsFinite(t *testing.T) {
	for _, c := range []Candidate{
		{}, {Load: math.MaxInt32, Slots: 1, Pace: 100}, {Load: 0, Slots: math.MaxInt32, Pace: 1e-3}, {Load: -5, Slots: -5},
	} {
		if w := waitForSlot(c); math.IsNaN(w) || math.IsInf(w, 0) || w < 0 {
			t.Errorf("wait %v at %+v", w, c)
		}
	}
}
