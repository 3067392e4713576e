package entry

import (
	"context"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/peer"
)

const (
	// healthInterval is the time between two reports on the engines' health.
	healthInterval = 2 * time.Second
	// healthTimeout bounds the wait for the response to a report.
	healthTimeout = time.Second
)

// reportHealth reports the outcomes that this router observed at each zone's engines
// to the leaders of the zone, and applies the verdict of the first leader, until ctx
// ends.
func (h *Host) reportHealth(ctx context.Context) error {
	return every(ctx, healthInterval, h.reportOnce)
}

func (h *Host) reportOnce(ctx context.Context) {
	byZone := map[peridotusher.Zone][]peridotusher.EngineOutcome{}
	for _, e := range h.engines.All() {
		byZone[e.Zone()] = nil
	}
	for _, o := range h.health.takePending() {
		if e, ok := h.engines.Get(o.Engine); ok {
			byZone[e.Zone()] = append(byZone[e.Zone()], o)
		}
	}
	for zone, outcomes := range byZone {
		first, second := h.zoneLeaders(zone)
		h.reportTo(ctx, first, zone, outcomes, true)
		if second != first && len(outcomes) > 0 {
			h.reportTo(ctx, second, zone, outcomes, false)
		}
	}
}

// reportTo reports to one router and, if adopt is set, applies its verdict.
func (h *Host) reportTo(ctx context.Context, to peridotusher.RouterID, zone peridotusher.Zone, outcomes []peridotusher.EngineOutcome, adopt bool) {
	if to == "" {
		return
	}
	if to == peridotusher.RouterID(h.Name) {
		h.health.addReport(outcomes)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	verdict, err := h.node.ReportOutcomes(ctx, to, outcomes)
	if err != nil {
		h.Log.WithError(err).WithField("router", to).Debug("report on the health of engines failed")
		return
	}
	if adopt {
		h.eligibility.applyVerdict(zone, verdict)
	}
}

// healthHandler handles the health reports of other routers.
type healthHandler struct{ host *Host }

// RecordOutcomes implements peer.HealthHandler.
func (s healthHandler) RecordOutcomes(_ peridotusher.RouterID, outcomes []peridotusher.EngineOutcome) peer.EngineVerdict {
	s.host.health.addReport(outcomes)
	return s.host.eligibility.verdict(peridotusher.Zone(s.host.Zone))
}
