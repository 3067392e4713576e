package entry

import (
	"context"
	"time"

	"peridotusher.example/peridotusher"
)

// warmupTracker gives engines that join with an empty cache a weight that rises to 1,
// and so a growing share of the new chats. Engines in the first list that the router
// reads have weight 1 at once.
type warmupTracker struct {
	host           *Host
	started        bool                                // whether update has seen the first list
	knownAddresses map[peridotusher.EngineID]string    // by engine; a new address is a new engine
	joinedAt       map[peridotusher.EngineID]time.Time // when the engines that are warming up joined
}

// warmUpEngines runs a warmupTracker until ctx ends.
func (h *Host) warmUpEngines(ctx context.Context) error {
	w := &warmupTracker{host: h, knownAddresses: map[peridotusher.EngineID]string{}, joinedAt: map[peridotusher.EngineID]time.Time{}}
	return every(ctx, engineCheckInterval, func(context.Context) { w.update() })
}

// update adds the engines that have joined and sets the weights of those that are
// warming up.
func (w *warmupTracker) update() {
	doc := w.host.Document()
	engines := w.host.engines.All()
	if doc == nil || len(engines) == 0 {
		return
	}
	now := w.host.Clock.Now()
	for _, e := range engines {
		if w.knownAddresses[e.ID()] == e.Address() {
			continue
		}
		report, reported := e.Report()
		switch {
		case !w.started:
			w.knownAddresses[e.ID()] = e.Address()
		case reported:
			w.knownAddresses[e.ID()] = e.Address()
			if report.Cached == 0 {
				w.joinedAt[e.ID()] = now
			}
		}
	}
	w.started = true
	for id, since := range w.joinedAt {
		weight := peridotusher.WarmupWeight(now.Sub(since), doc.Policy().Rollout().Warmup())
		w.host.eligibility.setWarmupWeight(id, weight)
		if weight == 1 {
			delete(w.joinedAt, id)
		}
	}
}
