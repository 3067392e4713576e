package standin

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// engineLoad is the answer of GET /load.
type engineLoad struct {
	Name     string          `json:"name"`
	Running  int             `json:"running"`
	Waiting  int             `json:"waiting"`
	Work     int             `json:"work"`
	Versions []engineVersion `json:"versions"`
	Adapters []string        `json:"adapters"`
	Role     string          `json:"role"`
	Cached   int             `json:"cached"`
	Capacity int             `json:"capacity"`
	Sequence uint64          `json:"sequence"`
	Age      int64           `json:"age"` // milliseconds
	Rate     *float64        `json:"rate,omitempty"`
}

// engineSample is the load at one point in time.
type engineSample struct {
	at   time.Time
	load engineLoad
}

// EngineStep is a change of an Engine's batch or queue.
type EngineStep struct {
	At      time.Time
	Running int
	Waiting int
	Work    int // running and waiting
}

// EngineStats counts what an Engine did.
type EngineStats struct {
	Runs           map[string]int // times that each request id entered the batch
	Order          []string       // request ids in the order in which they entered the batch
	Running        int
	Waiting        int
	PeakWork       int // highest work running
	HitTokens      int // prompt tokens found in the cache
	MissTokens     int // prompt tokens computed
	Completed      int
	Cancelled      int
	Imports        int               // prefixes imported from other engines
	LastAccept     time.Time         // when it last accepted a new request
	UnloadCanceled int               // requests canceled because their version was unloaded
	Versions       map[string]string // version that each request id ran on
	Orders         map[string]int    // orders applied, by kind
	Fences         []uint64          // fencing numbers of the orders applied, in the order of application
	Repeated       int               // orders that had been applied before
	Refused        int               // orders with an outdated fencing number
	Steps          []EngineStep
}

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.once.Do(e.prepare)
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Runs = maps.Clone(e.stats.Runs)
	stats.Versions = maps.Clone(e.stats.Versions)
	stats.Orders = maps.Clone(e.stats.Orders)
	stats.Fences = slices.Clone(e.stats.Fences)
	stats.Order = slices.Clone(e.stats.Order)
	stats.Steps = slices.Clone(e.stats.Steps)
	stats.Running = len(e.batch)
	stats.Waiting = len(e.queue)
	return stats
}

// count updates the statistics with the answer to an order.
func (s *EngineStats) count(answer engineOrderAnswer, order engineOrder) {
	switch {
	case answer.Applied:
		s.Orders[order.Kind]++
		s.Fences = append(s.Fences, order.Fence)
	case answer.Repeated:
		s.Repeated++
	case answer.Refused:
		s.Refused++
	}
}

// sample records the load after a change. The caller holds e.mu.
func (e *Engine) sample() {
	now := e.Clock.Now()
	running := engineWork(e.batch)
	e.stats.PeakWork = max(e.stats.PeakWork, running)
	step := EngineStep{
		At:      now,
		Running: len(e.batch),
		Waiting: len(e.queue),
		Work:    running + engineWork(e.queue),
	}
	if !e.stepRecorded(step) {
		e.stats.Steps = append(e.stats.Steps, step)
	}
	e.loads = append(e.loads, engineSample{at: now, load: e.load(step, now)})
	e.dropLoads(now)
}

// stepRecorded returns whether the last recorded step has the same values.
func (e *Engine) stepRecorded(step EngineStep) bool {
	if len(e.stats.Steps) == 0 {
		return false
	}
	last := e.stats.Steps[len(e.stats.Steps)-1]
	last.At = step.At
	return last == step
}

// load returns the load report of a step.
func (e *Engine) load(step EngineStep, now time.Time) engineLoad {
	return engineLoad{
		Name:     e.Name,
		Running:  step.Running,
		Waiting:  step.Waiting,
		Work:     step.Work,
		Versions: e.versions(now),
		Adapters: slices.Clone(e.orders.adapters),
		Role:     e.orders.role,
		Cached:   e.cache.used,
		Capacity: e.cache.capacity,
		Sequence: e.cache.sequence,
	}
}

// dropLoads discards the samples older than the one to report now, LoadReportDelay ago.
func (e *Engine) dropLoads(now time.Time) {
	due := now.Add(-e.LoadReportDelay)
	for len(e.loads) > 1 && !e.loads[1].at.After(due) {
		e.loads = e.loads[1:]
	}
}

// serveLoad reports the load as it was LoadReportDelay ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.sample()
	now := e.Clock.Now()
	sample := e.loads[0]
	override := e.faults.load
	rate := e.faults.rate
	e.mu.Unlock()
	load := sample.load
	load.Age = now.Sub(sample.at).Milliseconds()
	load.Rate = rate
	if override != nil {
		load.Running, load.Waiting, load.Work = override.Running, override.Waiting, override.Work
	}
	fmt.Fprint(w, engineJSON(load))
}

// Work returns the outstanding work, running and waiting.
func (e *Engine) Work() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineWork(e.batch) + engineWork(e.queue)
}

// Chats returns the chats whose prefixes are cached.
func (e *Engine) Chats() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.cache.byChat))
}
