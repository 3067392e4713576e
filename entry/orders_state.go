package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/engine"
)

// readStates reads the state of the zone's engines. It omits engines whose state
// cannot be read.
func (c *orderController) readStates(ctx context.Context) map[peridotusher.EngineID]engine.State {
	var mu sync.Mutex
	states := map[peridotusher.EngineID]engine.State{}
	var group errgroup.Group
	group.SetLimit(maxConcurrentEngineCalls)
	inZone := c.engines.Select(func(e peridotusher.Engine) bool { return e.Zone() == c.zone })
	for _, e := range inZone {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, stateTimeout)
			defer cancel()
			state, err := c.engineClient.State(ctx, e.Address())
			if err != nil {
				c.log.WithError(err).WithField("engine", e.ID()).Debug("state of engine not read")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			states[e.ID()] = state
			return nil
		})
	}
	// The workers report no errors.
	_ = group.Wait()
	return states
}

// plannedEngines returns the planner's view of the engines: the state just read for
// engines of this zone, and the load reports for the others.
func (c *orderController) plannedEngines(now time.Time, stale time.Duration, states map[peridotusher.EngineID]engine.State) []peridotusher.PlannedEngine {
	var planned []peridotusher.PlannedEngine
	for _, e := range c.engines.All() {
		report, reported := e.Report()
		p := peridotusher.PlannedEngine{ID: e.ID(), Zone: e.Zone(), State: e.State(), Work: report.Work}
		if e.Zone() == c.zone {
			state, ok := states[e.ID()]
			p.StateKnown = ok
			fillFromState(&p, state)
		} else {
			p.StateKnown = reported && now.Sub(report.Sampled) < stale
			fillFromReport(&p, report)
		}
		planned = append(planned, p)
	}
	return planned
}

func fillFromState(p *peridotusher.PlannedEngine, state engine.State) {
	if state.Leaving() {
		p.State = peridotusher.EngineLeaving
	}
	p.Adapters = state.Adapters()
	p.Role = state.Role()
	for _, v := range state.Versions() {
		held := peridotusher.HeldVersion{Model: v.Model, Version: v.Version, Ready: v.Ready}
		if v.Running != nil {
			held.Counted = true
			held.Running = *v.Running
		}
		p.Versions = append(p.Versions, held)
	}
}

func fillFromReport(p *peridotusher.PlannedEngine, report peridotusher.EngineReport) {
	p.Adapters = report.Adapters
	p.Role = report.Role
	for _, v := range report.Versions {
		p.Versions = append(p.Versions, peridotusher.HeldVersion{Model: v.Model, Version: v.Version, Ready: v.Ready})
	}
}
