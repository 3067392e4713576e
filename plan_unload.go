package peridotusher

import (
	"fmt"
	"math"
	"slices"
	"time"

	"peridotusher.example/peridotusher/document"
)

// longestDeadline is the longest time that a request may run.
type longestDeadline time.Duration

func longestOf(doc *document.Document) longestDeadline {
	var longest time.Duration
	for _, c := range doc.Classes() {
		longest = max(longest, c.Deadline())
	}
	return longestDeadline(longest)
}

// unload takes away the versions that left the document.
func (m *modelPlan) unload() {
	if len(m.model.Versions()) == 0 {
		return
	}
	for _, e := range m.engines {
		for _, v := range e.Versions {
			if v.Model == m.model.Name() && m.retired(v.Version) {
				m.unloadFrom(e, v)
			}
		}
	}
}

func (m *modelPlan) unloadFrom(e PlannedEngine, v HeldVersion) {
	if reason, detail := m.drained(v); reason != "" {
		m.hold(Hold{Version: v.Version, Engine: e.ID, Reason: reason, Detail: detail})
		return
	}
	rest := e.ready(m.model.Name(), func(version string) bool { return version != v.Version })
	if v.Ready && !rest {
		if floor := m.floor(); m.ready-1 < floor {
			m.hold(Hold{Version: v.Version, Engine: e.ID, Reason: ReasonFloor, Detail: fmt.Sprintf("%d ready, %d needed", m.ready, floor)})
			return
		}
	}
	if m.step(Step{Kind: StepUnload, Engine: e.ID, Version: v.Version, Reason: ReasonRetired}) && v.Ready && !rest {
		m.ready--
	}
}

// drained returns why the version cannot be unloaded yet, or no reason.
func (m *modelPlan) drained(v HeldVersion) (Reason, string) {
	for _, w := range m.model.Versions() {
		if cause, paused := m.paused(w.Name()); paused {
			return ReasonPaused, cause
		}
	}
	quiet, ok := m.observed.Quiet[m.version(v.Version)]
	since := m.observed.Now.Sub(quiet)
	// No router's view of an engine is older than the limit for stale reports.
	if !ok || since < max(m.policy.Rollout().Soak(), m.policy.Rollout().Stale()) {
		return ReasonShifting, ""
	}
	if v.Counted && v.Running > 0 {
		return ReasonDraining, fmt.Sprintf("%d running", v.Running)
	}
	if !v.Counted && since < time.Duration(m.longest) {
		return ReasonDraining, fmt.Sprintf("up to %v", time.Duration(m.longest)-since)
	}
	return "", ""
}

// floor returns the number of ready engines that the model needs: its minimum,
// or as many as keep its load within the slots at the load bound.
func (m *modelPlan) floor() int {
	total := 0
	for _, e := range m.all {
		total += e.Work
	}
	need := math.Ceil(m.policy.Bound() * float64(total) / float64(m.model.Slots()))
	return max(m.model.MinReplicas(), int(need), 1)
}

// adapt loads missing adapters and takes away those that no model lists. A
// model that lists none leaves the adapters alone.
func (m *modelPlan) adapt(wanted map[string]bool) {
	if len(m.model.Adapters()) == 0 {
		return
	}
	for _, e := range m.engines {
		for _, a := range m.model.Adapters() {
			if !slices.Contains(e.Adapters, a) && m.budget > 0 && m.step(Step{Kind: StepAdapter, Engine: e.ID, Adapter: a, Reason: ReasonAdapter}) {
				m.budget--
			}
		}
		for _, a := range e.Adapters {
			if !wanted[a] {
				m.step(Step{Kind: StepUnadapter, Engine: e.ID, Adapter: a, Reason: ReasonSurplus})
			}
		}
	}
}

// setRoles changes the role of one engine at a time.
func (m *modelPlan) setRoles() {
	if m.model.Role() == "" {
		return
	}
	for _, e := range m.engines {
		if e.Role == m.model.Role() {
			continue
		}
		if m.ready-1 < m.floor() && e.ready(m.model.Name(), anyVersion) {
			m.hold(Hold{Engine: e.ID, Reason: ReasonFloor})
			continue
		}
		if m.step(Step{Kind: StepRole, Engine: e.ID, Role: m.model.Role(), Reason: ReasonRole}) {
			return
		}
	}
}
