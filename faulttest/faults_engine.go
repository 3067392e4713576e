package faulttest

import (
	"time"

	"peridotusher.example/peridotusher/testbed"
)

const (
	flapCount      = 4
	flapInterval   = 300 * time.Millisecond
	surgeCallers   = 120
	slowStepFactor = 4 // factor by which a slow engine's steps take longer
)

// engineFaults returns the faults of model engines and of their load.
func engineFaults() []Fault {
	return []Fault{
		{Name: "engine-joins", Begin: addEngine},
		{Name: "engine-leaves", Begin: leaveEngine},
		{Name: "engine-flaps", ChatTolerance: ReportedFailure, Begin: flapEngine},
		{Name: "engine-crashes", ChatTolerance: ReportedFailure, Begin: crashEngine},
		{Name: "engine-slow", ChatTolerance: ReportedFailure, Begin: slowEngine, End: restoreEngine},
		{Name: "engine-connections-silent", ChatTolerance: ReportedFailure, Begin: silenceEngine},
		{Name: "surge", ChatTolerance: ReportedFailure, Begin: beginSurge, End: endSurge},
	}
}

func addEngine(e *Episode) error {
	zone := e.zone()
	_, err := e.bed.AddEngine(zone)
	return err
}

// leaveEngine lists an engine as leaving. checkLeaving reads its recorded load after the
// episode.
func leaveEngine(e *Episode) error {
	engine := e.engine()
	e.bed.MarkLeaving(engine.Name)
	e.leaving = append(e.leaving, leavingEngine{engine: engine, at: time.Now()})
	return nil
}

// flapEngine repeatedly silences an engine for a short time.
func flapEngine(e *Episode) error {
	engine := e.engine()
	for range flapCount {
		engine.SetSilent(true)
		e.sleep(flapInterval)
		engine.SetSilent(false)
		e.sleep(flapInterval)
	}
	return nil
}

func crashEngine(e *Episode) error {
	engine := e.engine()
	engine.SetCrashed()
	e.crashed[engine.Name] = true
	e.sleep(flapInterval)
	e.bed.Unlist(engine.Name)
	return nil
}

func slowEngine(e *Episode) error {
	e.slowed = e.engine()
	e.slowed.SetSlow(slowStepFactor)
	return nil
}

func restoreEngine(e *Episode) error {
	e.slowed.SetSlow(1)
	return nil
}

func silenceEngine(e *Episode) error {
	e.engine().SilenceOpen()
	return nil
}

func beginSurge(e *Episode) error {
	e.traffic.surge(surgeCallers)
	return nil
}

func endSurge(e *Episode) error {
	e.traffic.endSurge()
	return nil
}

// leavingEngine is an engine and the time at which it was listed as leaving.
type leavingEngine struct {
	engine *testbed.Engine
	at     time.Time
}
