package faulttest

import (
	"time"
)

const (
	storeDelay        = 700 * time.Millisecond
	lostWrites        = 5
	concurrentEditors = 4
	editsPerEditor    = 3
)

// platformFaults returns the faults of the store and of the list of hosts.
func platformFaults() []Fault {
	return []Fault{
		{Name: "store-down", CallTolerance: ReportedFailure, StaleConfiguration: true, Begin: storeDown, End: storeUp},
		{Name: "store-slow", CallTolerance: ReportedFailure, StaleConfiguration: true, Begin: storeSlow, End: restoreStoreSpeed},
		{Name: "store-answers-lost", CallTolerance: ReportedFailure, Begin: loseAnswers},
		{Name: "lists-disagree", Begin: splitLists, End: rejoinLists},
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

func restoreStoreSpeed(e *Episode) error {
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
		e.restoreLists = append(e.restoreLists, func() { list.Set(host) })
	}
	return nil
}

func rejoinLists(e *Episode) error {
	for _, restore := range e.restoreLists {
		restore()
	}
	e.restoreLists = nil
	return nil
}

// raceEditors makes several operators edit the configuration concurrently.
func raceEditors(e *Episode) error {
	e.editor.editConcurrently(e.ctx, concurrentEditors, editsPerEditor)
	return nil
}
