package peridotusher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestRetryBudget(t *testing.T) {
	tests := []struct {
		name     string
		share    float64
		requests int
		want     int // retries allowed out of one attempt for each request
	}{
		{"none allowed", 0, 100, 0},
		{"a tenth and the reserve", 0.1, 1000, 100 + retryReserve - 1},
		{"reserve", 0.1, 5, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b RetryBudget
			got := 0
			for range tt.requests {
				b.CountRequest(tt.share)
				if b.TryRetry(tt.share) {
					got++
				}
			}
			// Shares are summed in floating point, so a retry may be allowed one request later.
			if got != tt.want && got != tt.want+1 {
				t.Errorf("%d retries allowed, want %d", got, tt.want)
			}
			if diff := cmp.Diff(tt.requests-got, b.Refused()); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLatencyPercentile(t *testing.T) {
	var l Latencies
	for i := range minLatencySamples - 1 {
		l.Add(time.Duration(i))
	}
	if _, ok := l.Percentile(0.5); ok {
		t.Error("percentile of too few samples")
	}
	for i := range 2 * latencySamples {
		l.Add(time.Duration(i))
	}
	got, _ := l.Percentile(0.5)
	if diff := cmp.Diff(time.Duration(latencySamples+latencySamples/2), got); diff != "" {
		t.Errorf("percentile (-want +got):\n%s", diff)
	}
}
