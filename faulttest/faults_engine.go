package faulttest

import (
	"time"

	"peridotusher.example/peridotusher/testbed"
)

const (
	flaps     = 4
	flapPause = 300 * time.Millisecond
	surgers   = 120
	slowSteps = 4 // factor of a slow engine's step
)

// engineFaults are the faults of model engines and of their load.
func engineFaults() []Fault {
	return []Fault{
		{Name: "engine-joins", Begin: addEngine},
		{Name: "engine-leaves", Begin: leaveEngine},
		{Name: "engine-flaps", Chats: Told, Begin: flapEngine},
		{Name: "engine-crashes", Chats: Told, Begin: crashEngine},
		{Name: "engine-slow", Chats: Told, Begin: slowEngine, End: restoreEngine},
		{Name: "engine-connections-silent", Chats: Told, Begin: silenceEngine},
		{Name: "surge", Chats: Told, Begin: beginSurge, End: endSurge},
	}
}

func addEngine(e *Episode) error {
	zone := e.zone()
	_, err := e.bed.AddEngine(zone)
	return err
}

// leaveEngine lists an engine as leaving. The check of leaving engines reads
// its runs when the episode is over.
func leaveEngine(e *Episode) error {
	engine := e.engine()
	e.bed.Leave(engine.Name)
	e.left = append(e.left, leftEngine{engine: engine, at: time.Now()})
	return nil
}

// flapEngine makes an engine silent again and again for short times.
func flapEngine(e *Episode) error {
	engine := e.engine()
	for range flaps {
		engine.SetSilent(true)
		e.sleep(flapPause)
		engine.SetSilent(false)
		e.sleep(flapPause)
	}
	return nil
}

func crashEngine(e *Episode) error {
	engine := e.engine()
	engine.SetCrashed()
	e.gone[engine.Name] = true
	e.sleep(flapPause)
	e.bed.Unlist(engine.Name)
	return nil
}

func slowEngine(e *Episode) error {
	e.slowed = e.engine()
	e.slowed.SetSlow(slowSteps)
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
	e.traffic.surge(surgers)
	return nil
}

func endSurge(e *Episode) error {
	e.traffic.endSurge()
	return nil
}

// leftEngine is an engine that was listed as leaving.
type leftEngine struct {
	engine *testbed.Engine
	at     time.Time
}
