package peridotusher

import (
	"sync"
	"time"
)

const (
	// unlistedGrace is how long an engine that vanished from the list keeps its
	// place while it still reports its load.
	unlistedGrace = 2 * time.Second
	// maxUnlistedReportAge is the age of a report that shows such an engine alive. Reports
	// of engines that others own arrive every few seconds only.
	maxUnlistedReportAge = 7 * time.Second
)

// Listing damps the platform's list of engines: one that vanishes for a moment
// keeps its chats. An engine that is listed as leaving leaves at once.
type Listing struct {
	mu      sync.Mutex
	listed  []Engine
	missing map[EngineID]missingEngine
}

// missingEngine is an engine that vanished from the list.
type missingEngine struct {
	Engine
	since time.Time
}

// Update takes a new list.
func (l *Listing) Update(now time.Time, list []Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[EngineID]bool, len(list))
	for _, e := range list {
		present[e.id] = true
		delete(l.missing, e.id)
	}
	if l.missing == nil {
		l.missing = map[EngineID]missingEngine{}
	}
	for _, e := range l.listed {
		if !present[e.id] && e.state == EngineLive {
			l.missing[e.id] = missingEngine{e, now}
		}
	}
	l.listed = list
}

// Engines returns the listed engines and those that keep their place, given
// the table with their reports.
func (l *Listing) Engines(now time.Time, table *Engines) []Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := append([]Engine(nil), l.listed...)
	for id, m := range l.missing {
		known, ok := table.Get(id)
		alive := ok && now.Sub(known.report.Sampled) < maxUnlistedReportAge
		if now.Sub(m.since) >= unlistedGrace || !alive {
			delete(l.missing, id)
			continue
		}
		all = append(all, m.Engine)
	}
	return all
}
