package peridotusher

import (
	"slices"

	"peridotusher.example/peridotusher/document"
)

// Planner turns the models of the document into the next safe orders to the
// engines of one zone. A plan depends only on the planner's input.
//
// A version whose share grows is loaded on engines in waves, each at most as large as
// the number of engines on which the version is ready. A wave starts when the previous
// one has been in use for the soak time. A version that was removed from the document
// is unloaded once it gets no chats and its running work has ended. No step leaves a
// model with fewer ready engines than its minimum or than its load needs.
type Planner struct {
	Document *document.Document
}

// modelPlan is the state of planning for one model.
type modelPlan struct {
	policy          document.Policy
	model           *document.Model
	observed        Observed
	longestDeadline longestDeadline   // of all classes
	engines         []PlannedEngine   // of the model in the zone, live and with known state
	all             []PlannedEngine   // of the model in all zones, live
	stepped         map[EngineID]bool // engines that have a step, of any model
	readyEngines    int               // engines that are ready after the steps so far
	loadBudget      int               // number of further engines that may load a version or adapter now
	plan            *Plan
}

// Plan returns the next steps for the zone's engines.
func (p *Planner) Plan(observed Observed) Plan {
	var plan Plan
	stepped := map[EngineID]bool{}
	idle := p.assignIdleEngines(observed)
	for _, model := range p.Document.Models() {
		m := p.newModelPlan(model, observed, idle)
		m.plan = &plan
		m.stepped = stepped
		m.holdUnknownStates()
		m.checkHealth()
		m.planLoads()
		m.planUnloads()
		m.planAdapters(p.wantedAdapters())
		m.planRoles()
	}
	return plan
}

// assignIdleEngines assigns each live engine without a version to the model that is
// furthest below its minimum, among equals to the one with the fewest engines.
func (p *Planner) assignIdleEngines(observed Observed) map[EngineID]string {
	engineCounts := map[string]int{}
	for _, e := range observed.Engines {
		for _, model := range p.Document.Models() {
			if e.State == EngineLive && e.holdsModel(model.Name()) {
				engineCounts[model.Name()]++
			}
		}
	}
	idle := map[EngineID]string{}
	for _, e := range sortedEngines(observed.Engines) {
		if !e.StateKnown || e.State != EngineLive || len(e.Versions) > 0 {
			continue
		}
		if model := modelForIdleEngine(p.Document.Models(), engineCounts); model != "" {
			idle[e.ID] = model
			engineCounts[model]++
		}
	}
	return idle
}

// modelForIdleEngine returns the model that an idle engine is assigned to.
func modelForIdleEngine(models []*document.Model, engineCounts map[string]int) string {
	best := ""
	shortage := 0
	for _, m := range models {
		if len(m.Versions()) == 0 {
			continue
		}
		short := m.MinReplicas() - engineCounts[m.Name()]
		better := short > shortage || short == shortage && engineCounts[m.Name()] < engineCounts[best]
		if best == "" || better {
			best, shortage = m.Name(), short
		}
	}
	return best
}

func (p *Planner) newModelPlan(model *document.Model, observed Observed, idle map[EngineID]string) *modelPlan {
	m := &modelPlan{policy: p.Document.Policy(), model: model, observed: observed, longestDeadline: longestDeadlineOf(p.Document)}
	m.loadBudget = m.policy.Rollout().MaxConcurrentLoads()
	for _, e := range sortedEngines(observed.Engines) {
		if e.State != EngineLive || !e.holdsModel(model.Name()) && idle[e.ID] != model.Name() {
			continue
		}
		m.all = append(m.all, e)
		if e.StateKnown && e.isReady(model.Name(), anyVersion) {
			m.readyEngines++
		}
		if e.Zone == observed.Zone && e.StateKnown {
			m.engines = append(m.engines, e)
		}
	}
	for _, e := range m.engines {
		if e.isLoading(model.Name()) {
			m.loadBudget--
		}
	}
	return m
}

// wantedAdapters returns the adapters that any model lists.
func (p *Planner) wantedAdapters() map[string]bool {
	wanted := map[string]bool{}
	for _, model := range p.Document.Models() {
		for _, a := range model.Adapters() {
			wanted[a] = true
		}
	}
	return wanted
}

// addStep adds a step unless the engine has one already.
func (m *modelPlan) addStep(s Step) bool {
	if m.stepped[s.Engine] {
		return false
	}
	s.Model = m.model.Name()
	m.stepped[s.Engine] = true
	m.plan.Steps = append(m.plan.Steps, s)
	return true
}

func (m *modelPlan) addHold(h Hold) {
	h.Model = m.model.Name()
	m.plan.Holds = append(m.plan.Holds, h)
}

// holdUnknownStates adds a hold for each of the zone's engines whose state is not known;
// they get no orders.
func (m *modelPlan) holdUnknownStates() {
	for _, e := range m.all {
		if e.Zone == m.observed.Zone && !e.StateKnown {
			m.addHold(Hold{Engine: e.ID, Reason: ReasonStateUnknown})
		}
	}
}

func (m *modelPlan) modelVersion(name string) ModelVersion {
	return ModelVersion{m.model.Name(), name}
}

func anyVersion(string) bool { return true }

func sortedEngines(engines []PlannedEngine) []PlannedEngine {
	return slices.SortedFunc(slices.Values(engines), func(a, b PlannedEngine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}
