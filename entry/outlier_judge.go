package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
)

// judgeInterval is the time between two reviews of the zone's engines.
const judgeInterval = time.Second

// judgeEngines ejects outliers among the zone's engines while this router is
// the first choice for the zone's common work. It needs no store, so it goes
// on in a zone that is cut off.
func (h *Host) judgeEngines(ctx context.Context) error {
	var judge *peridotusher.Judge
	return every(ctx, judgeInterval, func(context.Context) {
		zone := peridotusher.Zone(h.Zone)
		first, _ := h.zoneLeaders(zone)
		doc := h.Document()
		if first != peridotusher.RouterID(h.Name) || doc == nil {
			judge = nil
			return
		}
		now := h.Clock.Now()
		if judge == nil {
			judge = peridotusher.NewJudge(now, h.standings.verdict(zone).Ejected)
		}
		engines := h.engines.Select(func(e peridotusher.Engine) bool { return e.Zone() == zone })
		for _, r := range judge.Review(now, doc.Policy().Rollout(), engines, h.health.recent(judge.Since)) {
			h.standings.rule(r)
			h.metrics.Ruling(string(r.Kind))
			h.Log.WithFields(logrus.Fields{"engine": r.Engine, "ruling": r.Kind, "cause": r.Cause}).Warn("engine judged")
		}
	})
}
