package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
)

// outlierInterval is the time between two checks of the zone's engines for outliers.
const outlierInterval = time.Second

// detectOutliers ejects outliers among the zone's engines while this router is the
// first of the zone's leaders. It does not need the store, so it continues in a
// zone that is partitioned from the others.
func (h *Host) detectOutliers(ctx context.Context) error {
	var detector *peridotusher.OutlierDetector
	return every(ctx, outlierInterval, func(context.Context) {
		zone := peridotusher.Zone(h.Zone)
		first, _ := h.zoneLeaders(zone)
		doc := h.Document()
		if first != peridotusher.RouterID(h.Name) || doc == nil {
			detector = nil
			return
		}
		now := h.Clock.Now()
		if detector == nil {
			detector = peridotusher.NewOutlierDetector(now, h.eligibility.verdict(zone).Ejected)
		}
		engines := h.engines.Select(func(e peridotusher.Engine) bool { return e.Zone() == zone })
		for _, r := range detector.Evaluate(now, doc.Policy().Rollout(), engines, h.health.recent(detector.OutcomesSince)) {
			h.eligibility.applyRuling(r)
			h.metrics.RecordRuling(string(r.Kind))
			h.Log.WithFields(logrus.Fields{"engine": r.Engine, "ruling": r.Kind, "cause": r.Cause}).Warn("engine judged")
		}
	})
}
