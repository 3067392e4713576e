package peridotusher

import (
	"fmt"
	"math"
	"slices"
	"time"

	"peridotusher.example/peridotusher/document"
)

// longestDeadline is the longest time that a request of any class may run.
type longestDeadline time.Duration

func longestDeadlineOf(doc *document.Document) longestDeadline {
	var longest time.Duration
	for _, c := range doc.Classes() {
		longest = max(longest, c.Deadline())
	}
	return longestDeadline(longest)
}

// planUnloads plans the unloading of versions that are no longer in the document.
func (m *modelPlan) planUnloads() {
	if len(m.model.Versions()) == 0 {
		return
	}
	for _, e := range m.engines {
		for _, v := range e.Versions {
			if v.Model == m.model.Name() && m.unlisted(v.Version) {
				m.planUnload(e, v)
			}
		}
	}
}

// planUnload plans the unloading of a version from an engine, or adds a hold with the
// reason against it.
func (m *modelPlan) planUnload(e PlannedEngine, v HeldVersion) {
	if reason, detail := m.unloadBlocker(v); reason != "" {
		m.addHold(Hold{Version: v.Version, Engine: e.ID, Reason: reason, Detail: detail})
		return
	}
	servesOther := e.isReady(m.model.Name(), func(version string) bool { return version != v.Version })
	if v.Ready && !servesOther {
		if needed := m.minReady(); m.readyEngines-1 < needed {
			m.addHold(Hold{Version: v.Version, Engine: e.ID, Reason: ReasonMinReady, Detail: fmt.Sprintf("%d ready, %d needed", m.readyEngines, needed)})
			return
		}
	}
	if m.addStep(Step{Kind: StepUnload, Engine: e.ID, Version: v.Version, Reason: ReasonRetired}) && v.Ready && !servesOther {
		m.readyEngines--
	}
}

// unloadBlocker returns the reason why the version cannot be unloaded yet, with detail,
// or an empty reason.
func (m *modelPlan) unloadBlocker(v HeldVersion) (Reason, string) {
	for _, w := range m.model.Versions() {
		if cause, paused := m.pauseCause(w.Name()); paused {
			return ReasonPaused, cause
		}
	}
	noShareSince, ok := m.observed.NoShareSince[m.modelVersion(v.Version)]
	since := m.observed.Now.Sub(noShareSince)
	// No router acts on a view of an engine that is older than the limit for stale
	// reports, so after that time no router sends chats to the version.
	if !ok || since < max(m.policy.Rollout().Soak(), m.policy.Rollout().MaxReportAge()) {
		return ReasonShifting, ""
	}
	if v.Counted && v.Running > 0 {
		return ReasonDraining, fmt.Sprintf("%d running", v.Running)
	}
	if !v.Counted && since < time.Duration(m.longestDeadline) {
		return ReasonDraining, fmt.Sprintf("up to %v", time.Duration(m.longestDeadline)-since)
	}
	return "", ""
}

// minReady returns the number of ready engines that the model needs: its minimum,
// or as many as keep its load within the slots at the load bound if that is more.
func (m *modelPlan) minReady() int {
	total := 0
	for _, e := range m.all {
		total += e.Work
	}
	need := math.Ceil(m.policy.Bound() * float64(total) / float64(m.model.Slots()))
	return max(m.model.MinReplicas(), int(need), 1)
}

// planAdapters plans the loading of missing adapters and the unloading of those that
// no model lists. For a model without adapters it does nothing.
func (m *modelPlan) planAdapters(wanted map[string]bool) {
	if len(m.model.Adapters()) == 0 {
		return
	}
	for _, e := range m.engines {
		for _, a := range m.model.Adapters() {
			if !slices.Contains(e.Adapters, a) && m.loadBudget > 0 && m.addStep(Step{Kind: StepAdapter, Engine: e.ID, Adapter: a, Reason: ReasonAdapter}) {
				m.loadBudget--
			}
		}
		for _, a := range e.Adapters {
			if !wanted[a] {
				m.addStep(Step{Kind: StepUnadapter, Engine: e.ID, Adapter: a, Reason: ReasonSurplus})
			}
		}
	}
}

// planRoles plans role changes, one engine at a time.
func (m *modelPlan) planRoles() {
	if m.model.Role() == "" {
		return
	}
	for _, e := range m.engines {
		if e.Role == m.model.Role() {
			continue
		}
		if m.readyEngines-1 < m.minReady() && e.isReady(m.model.Name(), anyVersion) {
			m.addHold(Hold{Engine: e.ID, Reason: ReasonMinReady})
			continue
		}
		if m.addStep(Step{Kind: StepRole, Engine: e.ID, Role: m.model.Role(), Reason: ReasonRole}) {
			return
		}
	}
}
