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
	e := &Episode{began: at(10), calm: at(20)}
	failed := callers.Result{Kind: "chat", Started: at(12), Duration: time.Second}
	told := failed
	told.Told = true
	early, late := told, told
	early.Started, late.Started = at(5), at(21)
	crossed := callers.Result{Started: at(12), Duration: time.Second, Crossed: true}
	tests := []struct {
		name    string
		result  callers.Result
		allowed Tolerance
		want    int
	}{
		{"whole", callers.Result{Whole: true}, Whole, 0},
		{"told, not tolerated", told, Whole, 1},
		{"told, tolerated", told, Told, 0},
		{"cut, not tolerated", failed, Told, 1},
		{"cut, tolerated", failed, Cut, 0},
		{"before the faults", early, Cut, 1},
		{"after the recovery", late, Cut, 1},
		{"crossed is never tolerated", crossed, Cut, 1},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, len(e.answers([]callers.Result{tt.result}, tt.allowed))); diff != "" {
			t.Errorf("%s: violations (-want +got):\n%s", tt.name, diff)
		}
	}
}

func TestOverloadedNeedsTime(t *testing.T) {
	run := func(end float64) int {
		readers := []*workReader{
			{name: "full", steps: []standin.EngineStep{{At: at(1), Work: 20}, {At: at(end), Work: 0}}, from: start},
			{name: "idle", steps: []standin.EngineStep{{At: at(0)}}, from: start},
			{name: "left", from: start, until: start},
		}
		found := 0
		since := map[string]time.Time{}
		for now := start; now.Before(at(10)); now = now.Add(boundSample) {
			found += len(overloaded(readers, now, 1.25, since))
		}
		return found
	}
	if got := run(2); got != 0 {
		t.Errorf("%d violations for a second beyond the bound, want none", got)
	}
	if got := run(5); got == 0 {
		t.Error("no violation for four seconds beyond the bound")
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

func TestEditsHaveToBeInForce(t *testing.T) {
	e := &Episode{bed: &testbed.Bed{}, began: at(10), ended: at(20), calm: at(40), Faults: []Fault{{Stale: true}}}
	if diff := cmp.Diff(at(20).Add(forceLimit+probeLag), e.dueAt(edit{at: at(12)})); diff != "" {
		t.Errorf("due time of an edit within a fault (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(at(30).Add(forceLimit+probeLag), e.dueAt(edit{at: at(30)})); diff != "" {
		t.Errorf("due time of an edit after it (-want +got):\n%s", diff)
	}
}
