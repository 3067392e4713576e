package faulttest

import (
	"fmt"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/callers"
)

const (
	// maxInForceTime is the time within which an accepted edit must be in force.
	maxInForceTime = 4 * time.Second
	// maxProbeInterval is the longest time between two probes of one router.
	maxProbeInterval = time.Second
	// maxLeaveTime is the time after which a leaving endpoint must get no new work.
	maxLeaveTime = 5 * time.Second
	maxExamples  = 5 // violations of one guarantee that are printed
)

// violations checks every guarantee and returns the violations.
func (e *Episode) violations() []string {
	var violations []string
	for _, check := range []struct {
		guarantee string
		run       func() []string
	}{
		{"load within the bound", e.checkBound},
		{"complete answers, none crossed", e.checkAnswers},
		{"nothing ran that was reported as not run", e.checkNotRun},
		{"at most once", e.checkRunsOnce},
		{"no new work for a leaving endpoint", e.checkLeaving},
		{"planned stops succeed", e.checkStops},
		{"configuration in force, never reverted", e.checkConfiguration},
		{"every request answered in time, even if it fails", e.checkUnanswered},
	} {
		found := check.run()
		e.Log("%s: %d violations", check.guarantee, len(found))
		for i, f := range found {
			if i == maxExamples {
				violations = append(violations, fmt.Sprintf("%s: and %d more", check.guarantee, len(found)-maxExamples))
				break
			}
			violations = append(violations, check.guarantee+": "+f)
		}
	}
	return violations
}

// checkAnswers finds answers that contain text of another request's answer, and failures
// that no fault excuses.
func (e *Episode) checkAnswers() []string {
	chats := e.tolerance(func(f Fault) Tolerance { return f.ChatTolerance })
	calls := e.tolerance(func(f Fault) Tolerance { return f.CallTolerance })
	found := e.checkResults(e.traffic.models, chats)
	for _, s := range e.traffic.saves {
		found = append(found, e.checkResults(s.results, calls)...)
	}
	found = append(found, e.checkResults(e.traffic.reads, calls)...)
	if complete := countComplete(e.traffic.models); complete == 0 {
		found = append(found, "no answer was complete")
	}
	e.Log("model requests: %d sent, %d answered completely; saves: %d", len(e.traffic.models), countComplete(e.traffic.models), len(e.traffic.saves))
	return found
}

// checkResults finds crossed answers and failures beyond the allowed tolerance.
func (e *Episode) checkResults(results []callers.Result, allowed Tolerance) []string {
	var found []string
	for _, r := range results {
		switch {
		case r.Crossed:
			found = append(found, "crossed: "+describe(r))
		case !r.Whole && !e.excused(r, allowed):
			found = append(found, describe(r))
		}
	}
	return found
}

// excused returns whether the request overlapped the faults or the recovery and its
// failure is within the tolerance.
func (e *Episode) excused(r callers.Result, allowed Tolerance) bool {
	if r.Started.After(e.recovered) || r.Started.Add(r.Duration).Before(e.faultsBegan) {
		return false
	}
	if r.Told {
		return allowed >= ReportedFailure
	}
	return allowed >= AnyFailure
}

// checkNotRun finds requests that ran although a router reported that they did not.
func (e *Episode) checkNotRun() []string {
	var found []string
	runs := e.engineRuns()
	for _, r := range e.traffic.models {
		if r.Told && r.Verdict == peridotusher.NotRun && runs[r.Request] > 0 {
			found = append(found, describe(r))
		}
	}
	keys := e.serviceRuns()
	for _, s := range e.traffic.saves {
		if keys[s.key] > 0 && allNotRun(s.results) {
			found = append(found, s.key+": "+describe(s.results[0]))
		}
	}
	return found
}

func allNotRun(results []callers.Result) bool {
	for _, r := range results {
		if !r.Told || r.Verdict != peridotusher.NotRun {
			return false
		}
	}
	return true
}

// checkRunsOnce finds calls that ran more than once, or that were answered without running.
func (e *Episode) checkRunsOnce() []string {
	var found []string
	keys := e.serviceRuns()
	for _, s := range e.traffic.saves {
		n := keys[s.key]
		answered := countComplete(s.results) > 0
		if n > 1 || answered && n != 1 {
			found = append(found, fmt.Sprintf("%s ran %d times, answered %t", s.key, n, answered))
		}
	}
	return found
}

// checkLeaving finds engines that started new work more than maxLeaveTime after they were
// listed as leaving.
func (e *Episode) checkLeaving() []string {
	var found []string
	for _, l := range e.leaving {
		busy := false
		late := 0
		for _, step := range l.engine.Stats().Steps {
			began := step.Running+step.Waiting > 0
			if began && !busy && step.At.After(l.at.Add(maxLeaveTime)) {
				late++
			}
			busy = began
		}
		if late > 0 {
			found = append(found, fmt.Sprintf("%s started work %d times", l.engine.Name, late))
		}
	}
	return found
}

// checkStops finds planned stops that failed. Requests that such a stop aborted are found
// by checkAnswers, because a planned stop excuses no failure.
func (e *Episode) checkStops() []string {
	var found []string
	for _, err := range e.failedStops {
		found = append(found, err.Error())
	}
	return found
}

// checkUnanswered finds requests that took maxAnswerTime, after which the caller cancels them.
func (e *Episode) checkUnanswered() []string {
	var found []string
	for _, results := range [][]callers.Result{e.traffic.models, e.traffic.reads} {
		for _, r := range results {
			if r.Duration >= maxAnswerTime {
				found = append(found, describe(r))
			}
		}
	}
	return found
}

// checkConfiguration finds edits that reached a router too late or never, and edits that
// a router no longer had later.
func (e *Episode) checkConfiguration() []string {
	found := e.probe.reverts
	for _, r := range e.bed.Routers {
		if !r.Running() {
			continue
		}
		for _, edit := range e.editor.acceptedEdits() {
			deadline := e.editDeadline(edit)
			if deadline.After(e.recovered) {
				continue
			}
			at, ok := e.probe.acceptedAt[r.URL][edit.number]
			if !ok {
				found = append(found, fmt.Sprintf("%s never applied edit %d", r.Name, edit.number))
			} else if at.After(deadline) {
				found = append(found, fmt.Sprintf("%s applied edit %d %s too late", r.Name, edit.number, at.Sub(deadline)))
			}
		}
	}
	if len(e.editor.acceptedEdits()) == 0 {
		found = append(found, "no edit was accepted")
	}
	return found
}

// editDeadline returns the time by which the edit must be in force everywhere. If a fault
// may keep routers from receiving it, the time limit starts when the faults end.
func (e *Episode) editDeadline(ed edit) time.Time {
	from := ed.at
	for _, f := range e.Faults {
		interrupted := f.StaleConfiguration || f.Name == "router-killed" || f.Name == "router-replaced"
		if interrupted && ed.at.After(e.faultsBegan.Add(-maxInForceTime)) && ed.at.Before(e.faultsEnded) {
			from = e.faultsEnded
		}
	}
	return from.Add(maxInForceTime + maxProbeInterval)
}

func (e *Episode) engineRuns() map[string]int {
	runs := map[string]int{}
	for _, engine := range e.bed.Engines {
		for request, n := range engine.Stats().Runs {
			runs[request] += n
		}
	}
	return runs
}

func (e *Episode) serviceRuns() map[string]int {
	runs := map[string]int{}
	for _, s := range e.bed.Services {
		for key, n := range s.Stats().Keys {
			runs[key] += n
		}
	}
	return runs
}

func countComplete(results []callers.Result) int {
	n := 0
	for _, r := range results {
		if r.Whole {
			n++
		}
	}
	return n
}

func describe(r callers.Result) string {
	return fmt.Sprintf("%s request %s at %s+%s: reported=%t verdict=%s cause=%s resumes=%d router=%s: %.160s",
		r.Kind, r.Request, r.Started.Format("15:04:05.000"), r.Duration.Round(time.Millisecond), r.Told, r.Verdict, r.Cause, r.Resumes, r.Router, r.Detail)
}
