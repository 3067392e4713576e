package pause_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/pause"
)

func TestBackoffDelay(t *testing.T) {
	tests := []struct {
		random float64
		want   []time.Duration
	}{
		{0, []time.Duration{50, 100, 200, 250, 250}},
		{0.5, []time.Duration{75, 150, 300, 375, 375}},
	}
	for _, test := range tests {
		b := pause.Backoff{Base: 100, Max: 500, Rand: func() float64 { return test.random }}
		var got []time.Duration
		for attempt := range test.want {
			got = append(got, b.Delay(attempt))
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("delays at %v (-want +got):\n%s", test.random, diff)
		}
	}
}
