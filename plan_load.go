package peridotusher

import (
	"cmp"
	"fmt"
	"slices"

	"peridotusher.example/peridotusher/document"
)

// spareEngines is the number of engines of a zone that hold a version beyond
// its share of the zone's engines.
const spareEngines = 1

// pause asks the health gate about every version that has not come to its
// full share.
func (m *modelPlan) pause() {
	for _, v := range m.model.Versions() {
		of := m.version(v.Name())
		if _, paused := m.observed.Paused[of]; paused || !m.growing(v) {
			continue
		}
		cause := gate(m.policy.Rollout(), of, m.observed.Health)
		if e, over := overloaded(m.policy, m.model, m.engines); cause == "" && over {
			cause = fmt.Sprintf("engine %s carries %d work units", e.ID, e.Work)
		}
		if cause != "" {
			m.plan.Pauses = append(m.plan.Pauses, Pause{of, cause})
		}
	}
}

// paused returns why the version's rollout stands still.
func (m *modelPlan) paused(version string) (string, bool) {
	of := m.version(version)
	if cause, ok := m.observed.Paused[of]; ok {
		return cause, true
	}
	for _, p := range m.plan.Pauses {
		if p.ModelVersion == of {
			return p.Cause, true
		}
	}
	return "", false
}

// growing returns whether a version is on its way to its share, while the
// zone's engines serve another version as well.
func (m *modelPlan) growing(v document.Version) bool {
	others := 0
	for _, e := range m.engines {
		if e.ready(m.model.Name(), func(version string) bool { return version != v.Name() }) {
			others++
		}
	}
	return v.Share() > 0 && others > 0 && m.retiring(v)
}

// retiring returns whether a version is to be replaced, or the given one is
// not ready on its target number of engines.
func (m *modelPlan) retiring(v document.Version) bool {
	if m.readyFor(v.Name()) < m.target(v) {
		return true
	}
	for _, e := range m.engines {
		if e.ready(m.model.Name(), m.retired) {
			return true
		}
	}
	return false
}

// retired returns whether the document does not have the version.
func (m *modelPlan) retired(version string) bool {
	for _, v := range m.model.Versions() {
		if v.Name() == version {
			return false
		}
	}
	return true
}

// readyFor returns the number of the zone's engines that are ready for the version.
func (m *modelPlan) readyFor(version string) int {
	n := 0
	for _, e := range m.engines {
		if v, ok := e.held(m.model.Name(), version); ok && v.Ready {
			n++
		}
	}
	return n
}

// target returns the number of the zone's engines that should hold the version.
func (m *modelPlan) target(v document.Version) int {
	if v.Share() == 0 {
		return 0
	}
	n := len(m.engines)
	return min(n, (v.Share()*n+fullShare-1)/fullShare+spareEngines)
}

// load gives the next wave of each version.
func (m *modelPlan) load() {
	for _, v := range m.model.Versions() {
		held := 0
		for _, e := range m.engines {
			if _, ok := e.held(m.model.Name(), v.Name()); ok {
				held++
			}
		}
		if missing := m.target(v) - held; missing > 0 {
			m.loadWave(v.Name(), missing)
		}
	}
}

func (m *modelPlan) loadWave(version string, missing int) {
	of := m.version(version)
	cause, paused := m.paused(version)
	ready := m.readyFor(version)
	grown, known := m.observed.Grown[of]
	soak := m.policy.Rollout().Soak()
	switch {
	case paused:
		m.hold(Hold{Version: version, Reason: ReasonPaused, Detail: cause})
		return
	case known && ready > 0 && m.observed.Now.Sub(grown) < soak:
		m.hold(Hold{Version: version, Reason: ReasonSoaking, Detail: fmt.Sprintf("%d of the zone's engines ready", ready)})
		return
	}
	wave := min(missing, max(ready, 1)-m.loadingOf(version), m.budget)
	if wave <= 0 {
		m.hold(Hold{Version: version, Reason: ReasonLoading, Detail: fmt.Sprintf("%d of the zone's engines ready", ready)})
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
		if m.step(Step{Kind: StepLoad, Engine: e.ID, Version: version, Reason: reason}) {
			wave--
			m.budget--
		}
	}
}

// loadingOf returns the number of the zone's engines that load the version.
func (m *modelPlan) loadingOf(version string) int {
	n := 0
	for _, e := range m.engines {
		if v, ok := e.held(m.model.Name(), version); ok && !v.Ready {
			n++
		}
	}
	return n
}

// loadCandidates returns the engines without the version, those that hold
// nothing first, then the least loaded.
func (m *modelPlan) loadCandidates(version string) []PlannedEngine {
	candidates := slices.DeleteFunc(slices.Clone(m.engines), func(e PlannedEngine) bool {
		_, ok := e.held(m.model.Name(), version)
		return ok
	})
	slices.SortStableFunc(candidates, func(a, b PlannedEngine) int {
		idle := cmp.Compare(min(len(a.Versions), 1), min(len(b.Versions), 1))
		return cmp.Or(idle, cmp.Compare(a.Work, b.Work), cmp.Compare(a.ID, b.ID))
	})
	return candidates
}
