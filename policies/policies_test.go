package policies

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

func TestOrderReturnsEveryEngineOnce(t *testing.T) {
	var engines []peridotusher.Engine
	var want []string
	for n := range 7 {
		name := fmt.Sprintf("engine-%d", n)
		engines = append(engines, peridotusher.NewEngine(peridotusher.EngineID(name), "a", ""))
		want = append(want, name)
	}
	for name, policy := range All(1, peridotusher.NewLedger()) {
		for n := range 20 {
			req := peridotusher.Request{ID: peridotusher.RequestID(fmt.Sprint(n)), Chat: "chat"}
			var got []string
			for _, e := range policy.Order(req, engines) {
				got = append(got, string(e.ID()))
			}
			slices.Sort(got)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("%s (-want +got):\n%s", name, diff)
			}
		}
	}
}

// TestRoundRobinTakesTurns checks the first choices for consecutive requests.
func TestRoundRobinTakesTurns(t *testing.T) {
	engines := []peridotusher.Engine{peridotusher.NewEngine("x", "a", ""), peridotusher.NewEngine("y", "a", "")}
	policy := &RoundRobin{}
	var got []peridotusher.EngineID
	for range 3 {
		got = append(got, policy.Order(peridotusher.Request{}, engines)[0].ID())
	}
	if diff := cmp.Diff([]peridotusher.EngineID{"x", "y", "x"}, got); diff != "" {
		t.Errorf("first choices (-want +got):\n%s", diff)
	}
}
