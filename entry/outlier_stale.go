package entry

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
)

// staleInterval is the time between two looks at the ages of the load reports.
const staleInterval = 200 * time.Millisecond

// watchReports ejects the engines that gave no usable load report for the
// policy's time, and takes them back with the next report. Each router does so
// for itself, since an engine may be out of reach for some routers only.
func (h *Host) watchReports(ctx context.Context) error {
	return every(ctx, staleInterval, func(context.Context) { h.reviewReports() })
}

func (h *Host) reviewReports() {
	doc := h.Document()
	if doc == nil {
		return
	}
	engines := h.engines.Select(func(e peridotusher.Engine) bool { return e.State() != peridotusher.EngineLeaving })
	stale := peridotusher.StaleEngines(h.Clock.Now(), doc.Policy().Rollout().Stale(), engines)
	for _, e := range engines {
		is := slices.Contains(stale, e.ID())
		if is == h.standings.isStale(e.ID()) {
			continue
		}
		h.standings.setStale(e.ID(), is)
		h.Log.WithFields(logrus.Fields{"engine": e.ID(), "ejected": is}).Warn("load report of engine is stale or fresh again")
	}
}
