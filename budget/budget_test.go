package budget

import (
	"testing"
	"time"

	"peridotusher.example/peridotusher"
)

func TestFleetStaysBelowTheSum(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := peridotusher.ClockFunc(func() time.Time { return now })
	cfg := Config{Ratio: 0.2, Window: 10 * time.Second, Extra: 56}
	const routers = 8
	fleet := make([]*Budget, routers)
	for i := range fleet {
		fleet[i] = New(cfg, clock)
	}
	var repeats, requests []time.Time
	for range 600 {
		now = now.Add(50 * time.Millisecond)
		for _, b := range fleet {
			b.Request("calls")
			requests = append(requests, now)
			for range 3 { // every request fails, and again
				if b.Repeat("calls", routers) {
					repeats = append(repeats, now)
				}
			}
		}
		in := func(times []time.Time) (n int) {
			for _, at := range times {
				if now.Sub(at) < cfg.Window {
					n++
				}
			}
			return n
		}
		if got, limit := in(repeats), cfg.Ratio*float64(in(requests))+cfg.Extra; float64(got) > limit {
			t.Fatalf("%d repeats in the window, limit %.0f", got, limit)
		}
	}
	if len(repeats) < len(requests)/10 {
		t.Errorf("%d repeats of %d requests: the budget is hardly used", len(repeats), len(requests))
	}
}
