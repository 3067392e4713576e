package peridotusher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFlappingEngine removes an engine from the platform's list. It must stay in use
// for the grace period while it reports its load, but not if it is silent or leaving.
func TestFlappingEngine(t *testing.T) {
	tests := []struct {
		name  string
		state EngineState
		age   time.Duration // of its last report
		after time.Duration // since its removal from the list
		want  int
	}{
		{"reports", EngineLive, 0, time.Second, 2},
		{"reports beyond the grace period", EngineLive, 0, 3 * time.Second, 1},
		{"silent", EngineLive, 8 * time.Second, time.Second, 1},
		{"leaving", EngineLeaving, 0, time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			stays, flaps := NewEngine("stays", "a", "192.0.2.1:1"), NewEngine("flaps", "a", "192.0.2.2:1").WithState(tt.state)
			table := NewEngines()
			table.SetListed([]Engine{stays, flaps})
			l := &Listing{}
			l.Update(now, []Engine{stays, flaps})
			l.Update(now, []Engine{stays})
			now = now.Add(tt.after)
			table.SetReport("flaps", EngineReport{Sampled: now.Add(-tt.age)})
			if diff := cmp.Diff(tt.want, len(l.Engines(now, table))); diff != "" {
				t.Errorf("engines (-want +got):\n%s", diff)
			}
		})
	}
}
