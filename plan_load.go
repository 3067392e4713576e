package peridotusher

import (
	"cmp"
	"fmt"
	"slices"

	"peridotusher.example/peridotusher/document"
)

// spareEngines is the number of engines of a zone that hold a version in addition to
// its share of the zone's engines.
const spareEngines = 1

// checkHealth pauses the versions that are rolling out and fail the health gate: by
// their errors or latency, or because an engine of the model is overloaded.
func (m *modelPlan) checkHealth() {
	for _, v := range m.model.Versions() {
		mv := m.modelVersion(v.Name())
		if _, paused := m.observed.Paused[mv]; paused || !m.rollingOut(v) {
			continue
		}
		cause := healthProblem(m.policy.Rollout(), mv, m.observed.Health)
		if e, over := overloadedEngine(m.policy, m.model, m.engines); cause == "" && over {
			cause = fmt.Sprintf("engine %s carries %d work units", e.ID, e.Work)
		}
		if cause != "" {
			m.plan.Pauses = append(m.plan.Pauses, Pause{mv, cause})
		}
	}
}

// pauseCause returns why the version's rollout is paused, and whether it is.
func (m *modelPlan) pauseCause(version string) (string, bool) {
	mv := m.modelVersion(version)
	if cause, ok := m.observed.Paused[mv]; ok {
		return cause, true
	}
	for _, p := range m.plan.Pauses {
		if p.ModelVersion == mv {
			return p.Cause, true
		}
	}
	return "", false
}

// rollingOut reports whether a version has not reached its share yet, while the
// zone's engines also serve another version.
func (m *modelPlan) rollingOut(v document.Version) bool {
	others := 0
	for _, e := range m.engines {
		if e.isReady(m.model.Name(), func(version string) bool { return version != v.Name() }) {
			others++
		}
	}
	return v.Share() > 0 && others > 0 && m.incomplete(v)
}

// incomplete reports whether the given version is not ready on its target number of
// engines, or some engine still serves a version that is not in the document.
func (m *modelPlan) incomplete(v document.Version) bool {
	if m.readyCount(v.Name()) < m.target(v) {
		return true
	}
	for _, e := range m.engines {
		if e.isReady(m.model.Name(), m.unlisted) {
			return true
		}
	}
	return false
}

// unlisted reports whether the document does not list the version.
func (m *modelPlan) unlisted(version string) bool {
	for _, v := range m.model.Versions() {
		if v.Name() == version {
			return false
		}
	}
	return true
}

// readyCount returns the number of the zone's engines that are ready for the version.
func (m *modelPlan) readyCount(version string) int {
	n := 0
	for _, e := range m.engines {
		if v, ok := e.version(m.model.Name(), version); ok && v.Ready {
			n++
		}
	}
	return n
}

// target returns the number of the zone's engines that should hold the version: its
// share, rounded up, plus spareEngines, at most all of them.
func (m *modelPlan) target(v document.Version) int {
	if v.Share() == 0 {
		return 0
	}
	n := len(m.engines)
	return min(n, (v.Share()*n+fullShare-1)/fullShare+spareEngines)
}

// planLoads plans the next wave of each version.
func (m *modelPlan) planLoads() {
	for _, v := range m.model.Versions() {
		holding := 0
		for _, e := range m.engines {
			if _, ok := e.version(m.model.Name(), v.Name()); ok {
				holding++
			}
		}
		if missing := m.target(v) - holding; missing > 0 {
			m.planWave(v.Name(), missing)
		}
	}
}

// planWave plans the next wave of a version that is missing on the given number of
// engines, or adds a hold with the reason against it.
func (m *modelPlan) planWave(version string, missing int) {
	mv := m.modelVersion(version)
	cause, paused := m.pauseCause(version)
	ready := m.readyCount(version)
	lastReady, known := m.observed.LastReady[mv]
	soak := m.policy.Rollout().Soak()
	switch {
	case paused:
		m.addHold(Hold{Version: version, Reason: ReasonPaused, Detail: cause})
		return
	case known && ready > 0 && m.observed.Now.Sub(lastReady) < soak:
		m.addHold(Hold{Version: version, Reason: ReasonSoaking, Detail: fmt.Sprintf("%d of the zone's engines ready", ready)})
		return
	}
	wave := min(missing, max(ready, 1)-m.loadingCount(version), m.loadBudget)
	if wave <= 0 {
		m.addHold(Hold{Version: version, Reason: ReasonLoading, Detail: fmt.Sprintf("%d of the zone's engines ready", ready)})
		return
	}
	for _, e := range m.loadCandidates(version) {
		if wave == 0 {
			return
		}
		reason := ReasonMissing
		if len(e.Versions) == 0 {
			reason = ReasonIdle
		}
		if m.addStep(Step{Kind: StepLoad, Engine: e.ID, Version: version, Reason: reason}) {
			wave--
			m.loadBudget--
		}
	}
}

// loadingCount returns the number of the zone's engines that load the version.
func (m *modelPlan) loadingCount(version string) int {
	n := 0
	for _, e := range m.engines {
		if v, ok := e.version(m.model.Name(), version); ok && !v.Ready {
			n++
		}
	}
	return n
}

// loadCandidates returns the engines without the version: first those that hold no
// version at all, then by load, least loaded first.
func (m *modelPlan) loadCandidates(version string) []PlannedEngine {
	candidates := slices.DeleteFunc(slices.Clone(m.engines), func(e PlannedEngine) bool {
		_, ok := e.version(m.model.Name(), version)
		return ok
	})
	slices.SortStableFunc(candidates, func(a, b PlannedEngine) int {
		idle := cmp.Compare(min(len(a.Versions), 1), min(len(b.Versions), 1))
		return cmp.Or(idle, cmp.Compare(a.Work, b.Work), cmp.Compare(a.ID, b.ID))
	})
	return candidates
}
