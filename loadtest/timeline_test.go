package loadtest

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestReplayCountsViolations replays two engines. An admission at an engine whose work is
// at the limit is a violation; one at an idle engine never is.
func TestReplayCountsViolations(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name    string
		changes []change
		want    [3]int // admissions, violations, maxExcess
	}{
		{"one each", []change{{at: at(1), engine: "x", work: 1}, {at: at(2), engine: "y", work: 1}}, [3]int{2, 0, 0}},
		{"two on one", []change{{at: at(1), engine: "x", work: 1}, {at: at(2), engine: "x", work: 2}}, [3]int{2, 0, 0}},
		{"three on one", []change{{at: at(1), engine: "x", work: 1}, {at: at(2), engine: "x", work: 2}, {at: at(3), engine: "x", work: 3}}, [3]int{3, 1, 1}},
		{"large work on an idle engine", []change{{at: at(1), engine: "x", work: 4}}, [3]int{1, 0, 0}},
		{"work that ends", []change{{at: at(1), engine: "x", work: 2}, {at: at(2), engine: "x", work: 1}}, [3]int{1, 0, 0}},
		{"before the start", []change{{at: at(-2), engine: "x", work: 9}}, [3]int{0, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			changes := []change{
				{at: at(-9), engine: "x", membership: true, live: true},
				{at: at(-9), engine: "y", membership: true, live: true},
			}
			b := replay(append(changes, tt.changes...), 1.25, start, at(10))
			if diff := cmp.Diff(tt.want, [3]int{b.admissions, b.violations, b.maxExcess}); diff != "" {
				t.Errorf("admissions, violations, maxExcess (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOracleKeepsTheLongestPrefix(t *testing.T) {
	o := newOracle()
	o.store("chat", 100)
	o.store("chat", 60)
	got := []int{o.reusable("chat", 150), o.reusable("chat", 80), o.reusable("other", 80)}
	if diff := cmp.Diff([]int{100, 80, 0}, got); diff != "" {
		t.Errorf("reusable tokens (-want +got):\n%s", diff)
	}
}

func TestPercentile(t *testing.T) {
	var values []time.Duration
	for n := 100; n > 0; n-- {
		values = append(values, time.Duration(n))
	}
	got := []time.Duration{percentile(values, 0.5), percentile(values, 0.99), percentile(nil, 0.5)}
	if diff := cmp.Diff([]time.Duration{51, 100, 0}, got); diff != "" {
		t.Errorf("percentiles (-want +got):\n%s", diff)
	}
}
