package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/engine"
)

// readBack reads the state of the zone's engines. An engine that gives none is
// left out.
func (g *orderGiver) readBack(ctx context.Context) map[peridotusher.EngineID]engine.State {
	var mu sync.Mutex
	states := map[peridotusher.EngineID]engine.State{}
	var group errgroup.Group
	group.SetLimit(orderWorkers)
	near := g.table.Select(func(e peridotusher.Engine) bool { return e.Zone() == g.zone })
	for _, e := range near {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, stateTimeout)
			defer cancel()
			state, err := g.models.State(ctx, e.Address())
			if err != nil {
				g.log.WithError(err).WithField("engine", e.ID()).Debug("state not read back")
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

// planned returns what the planner knows of the engines: the state read back
// from those of the own zone, the load reports of the others.
func (g *orderGiver) planned(now time.Time, stale time.Duration, states map[peridotusher.EngineID]engine.State) []peridotusher.PlannedEngine {
	var planned []peridotusher.PlannedEngine
	for _, e := range g.table.All() {
		report, reported := e.Report()
		p := peridotusher.PlannedEngine{ID: e.ID(), Zone: e.Zone(), State: e.State(), Work: report.Work}
		if e.Zone() == g.zone {
			state, ok := states[e.ID()]
			p.Heard = ok
			readState(&p, state)
		} else {
			p.Heard = reported && now.Sub(report.Sampled) < stale
			readReport(&p, report)
		}
		planned = append(planned, p)
	}
	return planned
}

func readState(p *peridotusher.PlannedEngine, state engine.State) {
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

func readReport(p *peridotusher.PlannedEngine, report peridotusher.EngineReport) {
	p.Adapters = report.Adapters
	p.Role = report.Role
	for _, v := range report.Versions {
		p.Versions = append(p.Versions, peridotusher.HeldVersion{Model: v.Model, Version: v.Version, Ready: v.Ready})
	}
}
