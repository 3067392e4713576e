package loadtest

import (
	"context"
	"flag"
	"strconv"
	"testing"
	"time"

	"peridotusher.example/peridotusher/document"
)

var (
	long = flag.Bool("long", false, "run the load tests and compare them with their targets")
	seed = flag.Uint64("seed", 1, "seed of the traffic")
)

const (
	// steadyReuseTarget is the minimum cache reuse in the steady scenario, as a fraction of
	// the oracle's.
	steadyReuseTarget = 0.95
	targetTime        = 12 * time.Second
)

// TestSteadyReuse compares the cache reuse of the steady scenario with its target.
func TestSteadyReuse(t *testing.T) {
	r := runSteady(t)
	if got := r.figure(t, "cache_of_oracle"); got < steadyReuseTarget {
		t.Errorf("cache reuse %.4f of the oracle's, want at least %.2f: %s", got, steadyReuseTarget, r.Line())
	}
}

// TestSteadyBound checks that no admission exceeds the load bound in the steady scenario.
func TestSteadyBound(t *testing.T) {
	r := runSteady(t)
	if got := r.figure(t, "bound_violations"); got > 0 {
		t.Errorf("%.0f admissions beyond the bound, want none: %s", got, r.Line())
	}
}

func runSteady(t *testing.T) *Report {
	t.Helper()
	if !*long {
		t.Skip("runs a fleet of real processes; use -long")
	}
	test := &Test{
		Scenario: Steady, Placement: document.PlacementBounded, Seed: *seed,
		Duration: targetTime, Rate: 4.6, TokenTime: 20 * time.Millisecond, Dir: t.TempDir(),
	}
	r, err := test.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// figure returns one number of the report.
func (r *Report) figure(t *testing.T, key string) float64 {
	t.Helper()
	for _, f := range r.fields {
		if f.key != key {
			continue
		}
		v, err := strconv.ParseFloat(f.value, 64)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	t.Fatalf("the report has no %s", key)
	return 0
}
