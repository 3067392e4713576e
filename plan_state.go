package peridotusher

import "time"

// HeldVersion is a version that an engine holds, as read from the engine.
type HeldVersion struct {
	Model   string
	Version string
	Ready   bool
	Running int  // requests that run on the version
	Counted bool // whether the engine reports Running
}

// PlannedEngine is the planner's view of one engine.
type PlannedEngine struct {
	ID         EngineID
	Zone       Zone
	State      EngineState
	StateKnown bool // whether the engine's state was read recently, so that it is known
	Versions   []HeldVersion
	Adapters   []string
	Role       string
	Work       int // outstanding work units
}

// version returns the version if the engine holds it.
func (e PlannedEngine) version(model, version string) (HeldVersion, bool) {
	for _, v := range e.Versions {
		if v.Model == model && v.Version == version {
			return v, true
		}
	}
	return HeldVersion{}, false
}

// isReady reports whether the engine can serve a version of the model that allow
// accepts.
func (e PlannedEngine) isReady(model string, allow func(version string) bool) bool {
	for _, v := range e.Versions {
		if v.Model == model && v.Ready && allow(v.Version) {
			return true
		}
	}
	return false
}

// isLoading reports whether the engine is loading a version of the model.
func (e PlannedEngine) isLoading(model string) bool {
	for _, v := range e.Versions {
		if v.Model == model && !v.Ready {
			return true
		}
	}
	return false
}

// holdsModel reports whether the engine holds a version of the model, ready or not.
func (e PlannedEngine) holdsModel(model string) bool {
	for _, v := range e.Versions {
		if v.Model == model {
			return true
		}
	}
	return false
}

// ModelVersion identifies a version of a model.
type ModelVersion struct {
	Model   string
	Version string
}

// Observed is the state on which a plan is based.
type Observed struct {
	Now          time.Time
	Zone         Zone                       // the zone whose engines get orders
	Engines      []PlannedEngine            // of all zones
	LastReady    map[ModelVersion]time.Time // when an engine last became ready
	NoShareSince map[ModelVersion]time.Time // since when the version has had no share of the chats
	Health       map[ModelVersion]Health
	Paused       map[ModelVersion]string // versions paused before, with the cause
}

// PlacedEngines returns the engines in the form that the placement of requests uses:
// the live ones with known state.
func PlacedEngines(planned []PlannedEngine) []Engine {
	var engines []Engine
	for _, p := range planned {
		if p.State != EngineLive || !p.StateKnown {
			continue
		}
		e := NewEngine(p.ID, p.Zone, "")
		for _, v := range p.Versions {
			e.report.Versions = append(e.report.Versions, LoadedVersion{Model: v.Model, Version: v.Version, Ready: v.Ready})
		}
		engines = append(engines, e)
	}
	return engines
}
