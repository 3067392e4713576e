package entry

import (
	"context"
	"time"

	"peridotusher.example/peridotusher"
)

// warmer raises the share of the engines that join with an empty cache. The
// engines of the router's first list have their full share at once.
type warmer struct {
	host    *Host
	started bool
	known   map[peridotusher.EngineID]string    // addresses
	joined  map[peridotusher.EngineID]time.Time // of the engines that warm up
}

// warmEngines raises the shares of joining engines until ctx ends.
func (h *Host) warmEngines(ctx context.Context) error {
	w := &warmer{host: h, known: map[peridotusher.EngineID]string{}, joined: map[peridotusher.EngineID]time.Time{}}
	return every(ctx, staleInterval, func(context.Context) { w.round() })
}

func (w *warmer) round() {
	doc := w.host.Document()
	engines := w.host.engines.All()
	if doc == nil || len(engines) == 0 {
		return
	}
	now := w.host.Clock.Now()
	for _, e := range engines {
		if w.known[e.ID()] == e.Address() {
			continue
		}
		report, reported := e.Report()
		switch {
		case !w.started:
			w.known[e.ID()] = e.Address()
		case reported:
			w.known[e.ID()] = e.Address()
			if report.Cached == 0 {
				w.joined[e.ID()] = now
			}
		}
	}
	w.started = true
	for id, since := range w.joined {
		weight := peridotusher.WarmupWeight(now.Sub(since), doc.Policy().Rollout().Warmup())
		w.host.standings.warmTo(id, weight)
		if weight == 1 {
			delete(w.joined, id)
		}
	}
}
