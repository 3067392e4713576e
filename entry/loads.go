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
	// loadInterval is the time between two polls of an engine's load report.
	loadInterval = 500 * time.Millisecond
	// loadTimeout bounds the wait for one load report.
	loadTimeout = 2 * time.Second
	// maxLoadPolls bounds the engines that are polled concurrently.
	maxLoadPolls = 8
)

// pollLoads polls the load reports of the engines that this router is the owner
// or deputy of, until ctx ends.
func (h *Host) pollLoads(ctx context.Context) error {
	return every(ctx, loadInterval, h.pollOnce)
}

func (h *Host) pollOnce(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxLoadPolls)
	for _, e := range h.engines.Select(h.pollsLoad) {
		if h.owns(e) {
			h.ledger.TakeOwnership(h.Clock.Now(), e.ID())
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
	report, err := h.engineClient.Load(ctx, e.Address())
	if err != nil {
		h.Log.WithError(err).WithField("engine", e.ID()).Debug("load report not received")
		return
	}
	now := h.Clock.Now()
	converted := toEngineReport(report, now)
	if doc := h.Document(); doc != nil && !converted.Plausible(now, doc) {
		h.Log.WithFields(logrus.Fields{"engine": e.ID(), "work": converted.Work}).Debug("impossible load report")
		return
	}
	h.engines.SetReport(e.ID(), converted)
	h.ledger.SetReported(now, e.ID(), converted)
}

func toEngineReport(r engine.Report, now time.Time) peridotusher.EngineReport {
	report := peridotusher.EngineReport{
		Work:     r.Work(),
		Adapters: r.Adapters(),
		Role:     r.Role(),
		Cached:   r.CacheTokens(),
		Sampled:  now.Add(-r.SampledAgo()),
	}
	report.RequestRate, report.LimitsRate = r.RequestRate()
	for _, v := range r.Versions() {
		report.Versions = append(report.Versions, peridotusher.LoadedVersion{Model: v.Model, Version: v.Version, Ready: v.Ready})
	}
	return report
}
