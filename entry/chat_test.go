package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// TestRefusalAfterLostEngineIsNotNotRun guards against a request that an engine may have run and that is
// reported as not run, because the next engine refused it.
func TestRefusalAfterLostEngineIsNotNotRun(t *testing.T) {
	refused := peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseOverloaded, "full").WithRetryAfter(time.Second)
	lost := peridotusher.Fail(peridotusher.Ran, peridotusher.CauseEndpointLost, "lost")
	type outcome struct {
		Verdict    string
		Cause      peridotusher.Cause
		RetryAfter time.Duration
	}
	tests := []struct {
		name       string
		mayHaveRun bool
		last       error
		want       outcome
	}{
		{"refused", false, refused, outcome{"not-run", peridotusher.CauseOverloaded, time.Second}},
		{"lost, then refused", true, refused, outcome{"may-have-run", peridotusher.CauseOverloaded, time.Second}},
		{"lost twice", true, lost, outcome{"ran", peridotusher.CauseEndpointLost, 0}},
	}
	for _, tt := range tests {
		f := peridotusher.AsFailure(verdictAfter(tt.mayHaveRun, tt.last))
		if diff := cmp.Diff(tt.want, outcome{f.Verdict().String(), f.Cause(), f.RetryAfter()}); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}
