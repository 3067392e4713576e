package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/engine"
)

const (
	// loadInterval is the time between two load reports asked of an engine.
	loadInterval = 500 * time.Millisecond
	// loadTimeout bounds the wait for one load report.
	loadTimeout = 2 * time.Second
	// loadWorkers is the number of load reports asked for at once.
	loadWorkers = 8
)

// pollLoads asks the engines that this router owns or is deputy of for their
// load reports.
func (h *Host) pollLoads(ctx context.Context) error {
	return every(ctx, loadInterval, h.pollOnce)
}

func (h *Host) pollOnce(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(loadWorkers)
	for _, e := range h.engines.Select(h.polls) {
		if h.owns(e) {
			h.ledger.Take(h.Clock.Now(), e.ID())
		}
		group.Go(func() error {
			h.pollEngine(ctx, e)
			return nil
		})
	}
	// The workers report no errors.
	_ = group.Wait()
}

func (h *Host) pollEngine(ctx context.Context, e peridotusher.Engine) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := h.models.Load(ctx, e.Address())
	if err != nil {
		h.Log.WithError(err).WithField("engine", e.ID()).Debug("no load report")
		return
	}
	now := h.Clock.Now()
	taken := engineReport(report, now)
	if doc := h.Document(); doc != nil && !taken.Possible(now, doc) {
		h.Log.WithFields(logrus.Fields{"engine": e.ID(), "work": taken.Work}).Debug("impossible load report")
		return
	}
	h.engines.SetReport(e.ID(), taken)
	h.ledger.SetReported(now, e.ID(), taken)
}

func engineReport(r engine.Report, now time.Time) peridotusher.EngineReport {
	report := peridotusher.EngineReport{
		Work:     r.Work(),
		Adapters: r.Adapters(),
		Role:     r.Role(),
		Cached:   r.CacheTokens(),
		Sampled:  now.Add(-r.SampledAgo()),
	}
	for _, v := range r.Versions() {
		report.Versions = append(report.Versions, peridotusher.LoadedVersion{Model: v.Model, Version: v.Version, Ready: v.Ready})
	}
	return report
}
