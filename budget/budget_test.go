package budget

import (
	"testing"
	"time"

	"peridotusher.example/peridotusher"
)

// TestFleetStaysWithinBudget has all requests of eight routers fail. The retries of all routers
// together must stay within the fleet's limit.
func TestFleetStaysWithinBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := peridotusher.ClockFunc(func() time.Time { return now })
	cfg := Config{Ratio: 0.2, Window: 10 * time.Second, Extra: 56}
	const routers = 8
	fleet := make([]*Budget, routers)
	for i := range fleet {
		fleet[i] = New(cfg, clock)
	}
	var retries, requests []time.Time
	for range 600 {
		now = now.Add(50 * time.Millisecond)
		for _, b := range fleet {
			b.Request("calls")
			requests = append(requests, now)
			for range 3 { // every request and its first two retries fail
				if b.Retry("calls", routers) {
					retries = append(retries, now)
				}
			}
		}
		countInWindow := func(times []time.Time) (n int) {
			for _, at := range times {
				if now.Sub(at) < cfg.Window {
					n++
				}
			}
			return n
		}
		if got, limit := countInWindow(retries), cfg.Ratio*float64(countInWindow(requests))+cfg.Extra; float64(got) > limit {
			t.Fatalf("%d retries in the window, limit %.0f", got, limit)
		}
	}
	if len(retries) < len(requests)/10 {
		t.Errorf("%d retries of %d requests: the budget is hardly used", len(retries), len(requests))
	}
}
