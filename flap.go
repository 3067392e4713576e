package peridotusher

import (
	"sync"
	"time"
)

const (
	// unlistedGrace is how long an engine that is missing from the list stays in
	// use while it still reports its load.
	unlistedGrace = 2 * time.Second
	// maxUnlistedReportAge is the age up to which a load report shows that such an engine
	// is alive. Reports of engines owned by other routers arrive only every few seconds.
	maxUnlistedReportAge = 7 * time.Second
)

// Listing smooths the platform's list of engines: an engine that is briefly missing
// from it stays in use and keeps its chats. An engine whose last listed state was
// not live is removed at once.
type Listing struct {
	mu      sync.Mutex
	listed  []Engine
	missing map[EngineID]missingEngine
}

// missingEngine is an engine that is missing from the latest list.
type missingEngine struct {
	Engine
	since time.Time
}

// Update sets the latest list.
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

// Engines returns the listed engines and the briefly missing ones that still report
// their load. The table has the engines' reports.
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
