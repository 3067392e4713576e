package entry

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
)

// engineCheckInterval is the interval between two checks of the age of load reports, and between two
// updates of the weights of engines that are warming up.
const engineCheckInterval = 200 * time.Millisecond

// ejectStaleEngines ejects engines from which no usable load report has arrived for
// the time set in the policy, and reinstates them at the next report. Each router
// does so for itself, because an engine may be unreachable from some routers only.
func (h *Host) ejectStaleEngines(ctx context.Context) error {
	return every(ctx, engineCheckInterval, func(context.Context) { h.checkReports() })
}

func (h *Host) checkReports() {
	doc := h.Document()
	if doc == nil {
		return
	}
	engines := h.engines.Select(func(e peridotusher.Engine) bool { return e.State() != peridotusher.EngineLeaving })
	stale := peridotusher.StaleEngines(h.Clock.Now(), doc.Policy().Rollout().MaxReportAge(), engines)
	for _, e := range engines {
		nowStale := slices.Contains(stale, e.ID())
		if nowStale == h.eligibility.isStale(e.ID()) {
			continue
		}
		h.eligibility.setStale(e.ID(), nowStale)
		h.Log.WithFields(logrus.Fields{"engine": e.ID(), "ejected": nowStale}).Warn("load report of engine became stale or fresh again")
	}
}
