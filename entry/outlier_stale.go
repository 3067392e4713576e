package entry

import (
	"context"
	"slices"
	"time"

	"peridotusher.example/peridotusher"
)

// staleInterval is the time between two looks at the ages of the load reports.
const staleInterval = 200 * time.Millisecond

// watchReports ejects the engines that gave no usable load report for the
// policy's time, and takes them back with the next report. Each router does so
// for itself, since an engine may be out of reach for some routers only.
func (h *Host) watchReports(ctx context.Context) error {
	stale := map[peridotusher.EngineID]bool{}
	return every(ctx, staleInterval, func(context.Context) { h.reviewReports(stale) })
}

func (h *Host) reviewReports(stale map[peridotusher.EngineID]bool) {
	doc := h.Document()
	if doc == nil {
		return
	}
	engines := h.engines.Select(func(e peridotusher.Engine) bool { return e.State() != peridotusher.EngineLeaving })
	now := peridotusher.StaleEngines(h.Clock.Now(), doc.Policy().Rollout().Stale(), engines)
	for _, e := range engines {
		was, is := stale[e.ID()], slices.Contains(now, e.ID())
		switch {
		case is && e.State() == peridotusher.EngineLive:
			stale[e.ID()] = true
			h.engines.SetState(e.ID(), peridotusher.EngineEjected)
			h.Log.WithField("engine", e.ID()).Warn("engine ejected; its load report is stale")
		case was && !is:
			delete(stale, e.ID())
			h.engines.SetState(e.ID(), peridotusher.EngineLive)
			h.Log.WithField("engine", e.ID()).Info("engine taken back; it reports its load again")
		}
	}
}
