package faulttest

import (
	"fmt"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/callers"
)

const (
	// forceLimit is the time within which an accepted edit is in force.
	forceLimit = 4 * time.Second
	// probeLag is the longest time between two probes of one router.
	probeLag = time.Second
	// leaveLimit is the time after which a leaving endpoint gets no new work.
	leaveLimit = 5 * time.Second
	maxNamed   = 5 // examples named in one message
)

// broken returns the promises that were broken.
func (e *Episode) broken() []string {
	var broken []string
	for _, check := range []struct {
		promise string
		run     func() []string
	}{
		{"load within the bound", e.checkBound},
		{"whole and own answers", e.checkAnswers},
		{"not run means not run", e.checkNotRun},
		{"at most once", e.checkOnce},
		{"no new work for a leaving endpoint", e.checkLeaving},
		{"planned stops cut nothing", e.checkStops},
		{"configuration in force, never reverted", e.checkConfiguration},
		{"an answer in time, even a failed one", e.checkHung},
	} {
		found := check.run()
		e.Log("%s: %d violations", check.promise, len(found))
		for i, f := range found {
			if i == maxNamed {
				broken = append(broken, fmt.Sprintf("%s: and %d more", check.promise, len(found)-maxNamed))
				break
			}
			broken = append(broken, check.promise+": "+f)
		}
	}
	return broken
}

// checkAnswers finds crossed answers, and failures that no fault excuses.
func (e *Episode) checkAnswers() []string {
	chats := e.tolerance(func(f Fault) Tolerance { return f.Chats })
	calls := e.tolerance(func(f Fault) Tolerance { return f.Calls })
	found := e.answers(e.traffic.models, chats)
	for _, s := range e.traffic.saves {
		found = append(found, e.answers(s.results, calls)...)
	}
	found = append(found, e.answers(e.traffic.reads, calls)...)
	if whole := countWhole(e.traffic.models); whole == 0 {
		found = append(found, "no answer was whole")
	}
	e.Log("models: %d asked, %d whole; saves: %d", len(e.traffic.models), countWhole(e.traffic.models), len(e.traffic.saves))
	return found
}

func (e *Episode) answers(results []callers.Result, allowed Tolerance) []string {
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

// excused returns whether a fault explains that the answer is not whole.
func (e *Episode) excused(r callers.Result, allowed Tolerance) bool {
	if r.Started.After(e.calm) || r.Started.Add(r.Duration).Before(e.began) {
		return false
	}
	if r.Told {
		return allowed >= Told
	}
	return allowed >= Cut
}

// checkNotRun finds requests that ran although a router said they did not.
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

// checkOnce finds calls that ran more than once, or were answered and did not run.
func (e *Episode) checkOnce() []string {
	var found []string
	keys := e.serviceRuns()
	for _, s := range e.traffic.saves {
		n := keys[s.key]
		answered := countWhole(s.results) > 0
		if n > 1 || answered && n != 1 {
			found = append(found, fmt.Sprintf("%s ran %d times, answered %t", s.key, n, answered))
		}
	}
	return found
}

// checkLeaving finds engines that got new work long after they were listed as leaving.
func (e *Episode) checkLeaving() []string {
	var found []string
	for _, l := range e.left {
		busy := false
		late := 0
		for _, step := range l.engine.Stats().Steps {
			began := step.Running+step.Waiting > 0
			if began && !busy && step.At.After(l.at.Add(leaveLimit)) {
				late++
			}
			busy = began
		}
		if late > 0 {
			found = append(found, fmt.Sprintf("%s began work %d times", l.engine.Name, late))
		}
	}
	return found
}

// checkStops finds planned stops that failed. Requests that such a stop cut
// are found by checkAnswers, because a planned stop excuses none.
func (e *Episode) checkStops() []string {
	var found []string
	for _, err := range e.stops {
		found = append(found, err.Error())
	}
	return found
}

// checkHung finds requests that were not answered at all.
func (e *Episode) checkHung() []string {
	var found []string
	for _, results := range [][]callers.Result{e.traffic.models, e.traffic.reads} {
		for _, r := range results {
			if r.Duration >= answerLimit {
				found = append(found, describe(r))
			}
		}
	}
	return found
}

// checkConfiguration finds edits that came too late to a router, or were lost there.
func (e *Episode) checkConfiguration() []string {
	found := e.probe.reverts
	for _, r := range e.bed.Routers {
		if !r.Running() {
			continue
		}
		for _, edit := range e.editor.all() {
			due := e.dueAt(edit)
			if due.After(e.calm) {
				continue
			}
			at, ok := e.probe.seen[r.URL][edit.number]
			if !ok {
				found = append(found, fmt.Sprintf("%s never had edit %d", r.Name, edit.number))
			} else if at.After(due) {
				found = append(found, fmt.Sprintf("%s had edit %d %s too late", r.Name, edit.number, at.Sub(due)))
			}
		}
	}
	if len(e.editor.all()) == 0 {
		found = append(found, "no edit was accepted")
	}
	return found
}

// dueAt returns when the edit has to be in force. Routers that a fault keeps
// from it have the time from the fault's end.
func (e *Episode) dueAt(ed edit) time.Time {
	from := ed.at
	for _, f := range e.Faults {
		interrupted := f.Stale || f.Name == "router-killed" || f.Name == "router-replaced"
		if interrupted && ed.at.After(e.began.Add(-forceLimit)) && ed.at.Before(e.ended) {
			from = e.ended
		}
	}
	return from.Add(forceLimit + probeLag)
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

func countWhole(results []callers.Result) int {
	n := 0
	for _, r := range results {
		if r.Whole {
			n++
		}
	}
	return n
}

func describe(r callers.Result) string {
	return fmt.Sprintf("%s request %s at %s+%s: told=%t verdict=%s cause=%s resumes=%d router=%s: %.160s",
		r.Kind, r.Request, r.Started.Format("15:04:05.000"), r.Duration.Round(time.Millisecond), r.Told, r.Verdict, r.Cause, r.Resumes, r.Router, r.Detail)
}
