package faulttest

import (
	"time"
)

const (
	storeDelay = 700 * time.Millisecond
	lostWrites = 5
	racers     = 4
	raceEdits  = 3
)

// platformFaults are the faults of the store and of the list of hosts.
func platformFaults() []Fault {
	return []Fault{
		{Name: "store-down", Calls: Told, Stale: true, Begin: storeDown, End: storeUp},
		{Name: "store-slow", Calls: Told, Stale: true, Begin: storeSlow, End: storeFast},
		{Name: "store-answers-lost", Calls: Told, Begin: loseAnswers},
		{Name: "lists-disagree", Begin: splitLists, End: joinLists},
		{Name: "racing-edits", Begin: raceEditors},
	}
}

func storeDown(e *Episode) error {
	e.bed.Store.SetDown(true)
	return nil
}

func storeUp(e *Episode) error {
	e.bed.Store.SetDown(false)
	return nil
}

func storeSlow(e *Episode) error {
	e.bed.Store.SetDelay(storeDelay)
	return nil
}

func storeFast(e *Episode) error {
	e.bed.Store.SetDelay(0)
	return nil
}

func loseAnswers(e *Episode) error {
	e.bed.Store.LoseAnswers(lostWrites)
	return nil
}

// splitLists removes a router and an engine from one zone's list only.
func splitLists(e *Episode) error {
	list := e.bed.Lists[e.zone()]
	for _, name := range []string{e.router().Name, e.engine().Name} {
		host, ok := list.Get(name)
		if !ok {
			continue
		}
		list.Remove(name)
		e.unlisted = append(e.unlisted, func() { list.Set(host) })
	}
	return nil
}

func joinLists(e *Episode) error {
	for _, restore := range e.unlisted {
		restore()
	}
	e.unlisted = nil
	return nil
}

// raceEditors lets several operators edit the configuration at once.
func raceEditors(e *Episode) error {
	e.editor.race(e.ctx, racers, raceEdits)
	return nil
}
