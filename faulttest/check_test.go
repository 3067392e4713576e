package faulttest

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/callers"
	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestAnswersAreExcusedOnlyByFaults(t *testing.T) {
	e := &Episode{faultsBegan: at(10), recovered: at(20)}
	failed := callers.Result{Kind: "chat", Started: at(12), Duration: time.Second}
	reported := failed
	reported.Told = true
	early, late := reported, reported
	early.Started, late.Started = at(5), at(21)
	crossed := callers.Result{Started: at(12), Duration: time.Second, Crossed: true}
	tests := []struct {
		name    string
		result  callers.Result
		allowed Tolerance
		want    int
	}{
		{"complete", callers.Result{Whole: true}, NoFailure, 0},
		{"reported, not tolerated", reported, NoFailure, 1},
		{"reported, tolerated", reported, ReportedFailure, 0},
		{"aborted, not tolerated", failed, ReportedFailure, 1},
		{"aborted, tolerated", failed, AnyFailure, 0},
		{"before the faults", early, AnyFailure, 1},
		{"after the recovery", late, AnyFailure, 1},
		{"crossed is never tolerated", crossed, AnyFailure, 1},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, len(e.checkResults([]callers.Result{tt.result}, tt.allowed))); diff != "" {
			t.Errorf("%s: violations (-want +got):\n%s", tt.name, diff)
		}
	}
}

func TestOverloadIsReportedOnlyIfItLasts(t *testing.T) {
	run := func(end float64) int {
		readers := []*workReader{
			{name: "full", steps: []standin.EngineStep{{At: at(1), Work: 20}, {At: at(end), Work: 0}}, from: start},
			{name: "idle", steps: []standin.EngineStep{{At: at(0)}}, from: start},
			{name: "left", from: start, until: start},
		}
		found := 0
		since := map[string]time.Time{}
		for now := start; now.Before(at(10)); now = now.Add(boundSampleInterval) {
			found += len(overloaded(readers, now, 1.25, since))
		}
		return found
	}
	if got := run(2); got != 0 {
		t.Errorf("%d violations for one second above the bound, want none", got)
	}
	if got := run(5); got == 0 {
		t.Error("no violation for four seconds above the bound")
	}
}

func TestNotRunIsCheckedForEveryAttempt(t *testing.T) {
	notRun := callers.Result{Told: true, Verdict: peridotusher.NotRun}
	unknown := callers.Result{Verdict: peridotusher.MayHaveRun}
	tests := []struct {
		results []callers.Result
		want    bool
	}{
		{[]callers.Result{notRun}, true},
		{[]callers.Result{notRun, unknown}, false},
		{[]callers.Result{{Whole: true, Verdict: peridotusher.Ran}}, false},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, allNotRun(tt.results)); diff != "" {
			t.Errorf("not run %v (-want +got):\n%s", tt.results, diff)
		}
	}
}

func TestEditDeadlineIsExtendedByFaults(t *testing.T) {
	e := &Episode{bed: &testbed.Bed{}, faultsBegan: at(10), faultsEnded: at(20), recovered: at(40), Faults: []Fault{{StaleConfiguration: true}}}
	if diff := cmp.Diff(at(20).Add(maxInForceTime+maxProbeInterval), e.editDeadline(edit{at: at(12)})); diff != "" {
		t.Errorf("deadline of an edit during a fault (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(at(30).Add(maxInForceTime+maxProbeInterval), e.editDeadline(edit{at: at(30)})); diff != "" {
		t.Errorf("deadline of an edit after the fault (-want +got):\n%s", diff)
	}
}
