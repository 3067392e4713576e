package peridotusher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/document"
)

const limitedDocument = `[class chat]
deadline = 30s

[organisation shop]
keys = sha256:9ee6210e3f625fc2917fbd63847058136d77e49371b964ad1385fdbf4a717f60
`

func limitedOrganisation(t *testing.T, limit string) *document.Organisation {
	t.Helper()
	doc, problems := document.Parse("test", []byte(limitedDocument+limit+"\n"))
	if len(problems) > 0 {
		t.Fatal(problems[0])
	}
	org, _ := doc.Organisation("shop")
	return org
}

// newFleetLimits returns the Limits of several routers.
func newFleetLimits(clock Clock, ids ...RouterID) []*Limits {
	var fleet []*Limits
	for _, id := range ids {
		fleet = append(fleet, &Limits{Self: id, Clock: clock})
	}
	return fleet
}

// exchangeDemands reports each router's demand to the others.
func exchangeDemands(fleet []*Limits) {
	for _, from := range fleet {
		for _, to := range fleet {
			if from != to {
				to.SetDemands(from.Self, from.Demands())
			}
		}
	}
}

// TestRateLimitAcrossRouters sends ten times the limit, evenly, through one router and
// unevenly. The admitted rate must settle at the limit.
func TestRateLimitAcrossRouters(t *testing.T) {
	org := limitedOrganisation(t, "rate = 20")
	for _, weights := range [][]int{{25, 25, 25, 25}, {100, 0, 0, 0}, {70, 20, 10, 0}} {
		clock := newStepClock()
		fleet := newFleetLimits(clock, "a", "b", "c", "d")
		admitted := 0
		const steps, warmup = 120, 40 // of half a second
		for step := range steps {
			for k, l := range fleet {
				for range weights[k] {
					end, err := l.Begin(org)
					if err != nil {
						continue
					}
					end()
					if step >= warmup {
						admitted++
					}
				}
			}
			clock.advance(500 * time.Millisecond)
			exchangeDemands(fleet)
		}
		perSecond := float64(admitted) / ((steps - warmup) / 2)
		if perSecond < 16 || perSecond > 21 {
			t.Errorf("demand %v: %g a second were admitted, want 16 to 21", weights, perSecond)
		}
	}
}

// TestConcurrencyLimitAcrossRouters checks that the sum of the requests in flight stays
// near the limit once the routers know each other's demand.
func TestConcurrencyLimitAcrossRouters(t *testing.T) {
	org := limitedOrganisation(t, "concurrent = 10")
	clock := newStepClock()
	fleet := newFleetLimits(clock, "a", "b", "c")
	var ends []func()
	for range 20 {
		for _, end := range ends {
			end()
		}
		ends = nil
		clock.advance(100 * time.Millisecond)
		exchangeDemands(fleet)
		for k, l := range fleet {
			for range 10 * (k + 1) {
				if end, err := l.Begin(org); err == nil {
					ends = append(ends, end)
				}
			}
		}
	}
	if len(ends) < 7 || len(ends) > 12 {
		t.Errorf("%d requests in flight, want 7 to 12 with the limit 10 and 3 routers", len(ends))
	}
}

func TestSplitLimitSumsToLimit(t *testing.T) {
	got := splitLimit(10, map[RouterID]float64{"a": 1, "b": 1, "c": 3})
	if diff := cmp.Diff(map[RouterID]int{"a": 2, "b": 2, "c": 6}, got); diff != "" {
		t.Errorf("shares (-want +got):\n%s", diff)
	}
	sum := 0
	for _, n := range splitLimit(7, map[RouterID]float64{"a": 0.3, "b": 1.7, "c": 0.1}) {
		sum += n
	}
	if diff := cmp.Diff(7, sum); diff != "" {
		t.Errorf("sum of the shares (-want +got):\n%s", diff)
	}
}
