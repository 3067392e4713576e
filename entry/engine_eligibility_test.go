package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/peer"
)

// TestReturnedEngineIsJudgedAnew guards against an engine that is listed again and stays ejected, or is
// used although the zone has ejected it.
func TestReturnedEngineIsJudgedAnew(t *testing.T) {
	const id, zone = peridotusher.EngineID("e1"), peridotusher.Zone("a")
	listed := []peridotusher.Engine{peridotusher.NewEngine(id, zone, "127.0.0.1:1")}
	tests := []struct {
		name  string
		after func(s *eligibilityTable)
		want  peridotusher.EngineState
	}{
		{"its report becomes stale and fresh again", func(s *eligibilityTable) {
			s.setStale(id, true)
			s.setStale(id, false)
		}, peridotusher.EngineLive},
		{"the zone ejects it", func(s *eligibilityTable) {
			s.applyVerdict(zone, peer.EngineVerdict{Ejected: []peridotusher.EngineID{id}})
		}, peridotusher.EngineEjected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newEligibilityTable(peridotusher.NewEngines())
			s.setListed(listed)
			s.applyVerdict(zone, peer.EngineVerdict{Ejected: []peridotusher.EngineID{id}})
			s.setListed(nil)
			s.setListed(listed)
			tt.after(s)
			e, _ := s.engines.Get(id)
			if diff := cmp.Diff(tt.want, e.State()); diff != "" {
				t.Errorf("state after the return (-want +got):\n%s", diff)
			}
		})
	}
}
