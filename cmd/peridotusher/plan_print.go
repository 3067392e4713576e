package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/hosts"
)

// engineTimeout limits the query for one engine's state and load.
const engineTimeout = 2 * time.Second

// printPlans prints the plan of the zone, or of every zone with engines if it is empty.
func printPlans(w io.Writer, doc *document.Document, engines []peridotusher.PlannedEngine, zone peridotusher.Zone) {
	var zones []peridotusher.Zone
	for _, e := range engines {
		if !slices.Contains(zones, e.Zone) && (zone == "" || e.Zone == zone) {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	for _, z := range zones {
		fmt.Fprintf(w, "zone %s\n", z)
		printPlan(w, planZone(doc, engines, z))
	}
}

// planZone returns the plan of a zone under the assumption that the waits of a rollout are over.
func planZone(doc *document.Document, engines []peridotusher.PlannedEngine, zone peridotusher.Zone) peridotusher.Plan {
	now := time.Now()
	progress := peridotusher.NewProgress()
	progress.Observe(now.Add(-planHistory), doc, zone, engines, peridotusher.PlacedEngines(engines))
	observed := peridotusher.Observed{Now: now, Zone: zone, Engines: engines}
	progress.Fill(&observed)
	planner := &peridotusher.Planner{Document: doc}
	return planner.Plan(observed)
}

func printPlan(w io.Writer, plan peridotusher.Plan) {
	for _, s := range plan.Steps {
		fmt.Fprintf(w, "  %s\n", s)
	}
	for _, h := range plan.Holds {
		fmt.Fprintf(w, "  %s\n", h)
	}
	for _, p := range plan.Pauses {
		fmt.Fprintf(w, "  pause %s %s: %s\n", p.Model, p.Version, p.Cause)
	}
	if len(plan.Steps)+len(plan.Holds)+len(plan.Pauses) == 0 {
		fmt.Fprintln(w, "  nothing to do")
	}
}

// queryEngines reads the host list once and queries each engine in it for its state.
func queryEngines(ctx context.Context, url string) ([]peridotusher.PlannedEngine, error) {
	client, closeClient, err := engine.New(engine.Options{Clock: peridotusher.ClockFunc(time.Now)})
	if err != nil {
		return nil, err
	}
	defer closeClient()
	list, err := (&hosts.Client{URL: url}).List(ctx)
	if err != nil {
		return nil, cli.Exit(err, exitFailure)
	}
	var planned []peridotusher.PlannedEngine
	for _, h := range list {
		if h.Kind() == hosts.KindEngine {
			planned = append(planned, queryEngine(ctx, client, h))
		}
	}
	return planned, nil
}

// queryEngine returns the state and load that the engine reports. StateKnown is false if either
// query failed.
func queryEngine(ctx context.Context, client *engine.Client, h hosts.Host) peridotusher.PlannedEngine {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	e := stateEngine{Name: h.Name(), Zone: string(h.Zone())}
	state := peridotusher.EngineLive
	if h.State() == hosts.StateLeaving {
		state = peridotusher.EngineLeaving
	}
	read, err := client.State(ctx, h.Address())
	report, loadErr := client.Load(ctx, h.Address())
	if read.Leaving() {
		state = peridotusher.EngineLeaving
	}
	e.Work = report.Work()
	e.Role = read.Role()
	e.Adapters = read.Adapters()
	for _, v := range read.Versions() {
		e.Versions = append(e.Versions, stateVersion(v))
	}
	p := e.planned(state)
	p.StateKnown = err == nil && loadErr == nil
	return p
}
