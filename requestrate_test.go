package peridotusher

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// setRate has an engine report the number of requests a second that it accepts.
func (n *network) setRate(engine EngineID, rate float64, limited bool) {
	for _, r := range n.routers {
		e, _ := r.engines.Get(engine)
		report := e.report
		report.RequestRate, report.LimitsRate, report.Sampled = rate, limited, n.clock.Now()
		r.engines.SetReport(engine, report)
	}
}

// TestRequestsBeyondEngineRatesAreRefused guards against requests that wait for engines that accept none in
// time, or that are told to return before one does.
func TestRequestsBeyondEngineRatesAreRefused(t *testing.T) {
	n := newNetwork(t, 1, "a", "b")
	n.setOwners("a", "b")
	n.setRate(engineName(0), 0.25, true)
	req := n.chatRequest(7)
	req.Deadline = n.clock.Now().Add(time.Second)
	_, err := n.routers["a"].ingress.Acquire(context.Background(), n.doc, req, nil)
	if err == nil {
		t.Fatal("a request beyond the rate got a permit")
	}
	f := AsFailure(err)
	if diff := cmp.Diff([]any{NotRun, CauseOverloaded, true}, []any{f.Verdict(), f.Cause(), f.RetryAfter() >= 2*time.Second}); diff != "" {
		t.Errorf("verdict, cause, told to return after the next token (-want +got):\n%s", diff)
	}
}
