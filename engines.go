package peridotusher

import (
	"maps"
	"slices"
	"sort"
	"sync"
)

// Engines is the table of model engines known to a router.
type Engines struct {
	mu      sync.RWMutex
	byID    map[EngineID]Engine
	version uint64 // incremented by each change that a ranking depends on
}

// NewEngines returns an empty table.
func NewEngines() *Engines {
	return &Engines{byID: map[EngineID]Engine{}}
}

// SetListed replaces the set of known engines by the platform's list. An engine
// that remains at the same address keeps its report and weight, and also its
// leaving or ejected state while the list has it as live.
func (t *Engines) SetListed(list []Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[EngineID]Engine, len(list))
	for _, e := range list {
		old, ok := t.byID[e.id]
		if ok && old.address == e.address {
			e.report = old.report
			e.reported = old.reported
			e.weight = old.weight
			if old.state != EngineLive && e.state == EngineLive {
				e.state = old.state
			}
		}
		next[e.id] = e
	}
	if !sameEngines(t.byID, next) {
		t.version++
	}
	t.byID = next
}

// sameEngines compares the properties that rankings depend on.
func sameEngines(a, b map[EngineID]Engine) bool {
	return maps.EqualFunc(a, b, func(x, y Engine) bool {
		return x.address == y.address && x.zone == y.zone && x.state == y.state && x.weight == y.weight
	})
}

// Version returns a number that is incremented by each change of the set of engines
// or of their states, weights and loaded versions.
func (t *Engines) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// replace stores a changed engine and increments the version if rankings depend on
// the change.
func (t *Engines) replace(old, e Engine) {
	same := old.state == e.state && old.weight == e.weight && slices.Equal(old.report.Versions, e.report.Versions)
	if !same {
		t.version++
	}
	t.byID[e.id] = e
}

// SetReport records an engine's own load report.
func (t *Engines) SetReport(id EngineID, report EngineReport) {
	t.update(id, func(e *Engine) {
		e.report = report
		e.reported = true
	})
}

// SetState changes an engine's state.
func (t *Engines) SetState(id EngineID, state EngineState) {
	t.update(id, func(e *Engine) { e.state = state })
}

// SetWeight changes an engine's share of new chats.
func (t *Engines) SetWeight(id EngineID, weight float64) {
	t.update(id, func(e *Engine) { e.weight = weight })
}

// update changes a known engine; an unknown one is ignored.
func (t *Engines) update(id EngineID, change func(*Engine)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.byID[id]
	if !ok {
		return
	}
	e := old
	change(&e)
	t.replace(old, e)
}

// Get returns the engine with the given ID.
func (t *Engines) Get(id EngineID) (Engine, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.byID[id]
	return e, ok
}

// All returns all engines, sorted by ID.
func (t *Engines) All() []Engine {
	return t.Select(func(Engine) bool { return true })
}

// Select returns the engines that match, sorted by ID.
func (t *Engines) Select(match func(Engine) bool) []Engine {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var selected []Engine
	for _, e := range t.byID {
		if match(e) {
			selected = append(selected, e)
		}
	}
	sort.Slice(selected, func(i, j int) bool { return selected[i].id < selected[j].id })
	return selected
}
