package entry

import (
	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/peer"
)

// LiveMembers returns the number of routers in state live, including this one.
func (h *Host) LiveMembers() int {
	if !h.built.Load() {
		return 0
	}
	live := 0
	for _, m := range h.members.All() {
		if m.State() == peridotusher.MemberLive {
			live++
		}
	}
	return live
}

// ReadyEngines returns the number of live engines that have reported their load.
func (h *Host) ReadyEngines() int {
	if !h.built.Load() {
		return 0
	}
	return len(h.engines.Select(func(e peridotusher.Engine) bool {
		_, reported := e.Report()
		return reported && e.State() == peridotusher.EngineLive
	}))
}

// knowsEngines returns whether the router has load reports from at least half of
// the live engines in its zone, or needs no engines because no model is
// configured. Before that, it would refuse chats or place them on too few
// engines. Engines of other zones do not count, because a zone that is
// partitioned from the others must become ready too. If the zone has no engine,
// one report from any engine suffices. Once true because of reports, the result
// stays true.
func (h *Host) knowsEngines() bool {
	if h.enginesKnown.Load() {
		return true
	}
	doc := h.Document()
	if doc != nil && len(doc.Models()) == 0 {
		return true
	}
	inZone := h.engines.Select(h.liveInZone)
	if len(inZone) == 0 {
		return h.latchEnginesKnown(h.ReadyEngines() > 0)
	}
	reported := 0
	for _, e := range inZone {
		if _, ok := e.Report(); ok {
			reported++
		}
	}
	return h.latchEnginesKnown(2*reported >= len(inZone))
}

func (h *Host) liveInZone(e peridotusher.Engine) bool {
	return e.State() == peridotusher.EngineLive && string(e.Zone()) == h.Zone
}

// latchEnginesKnown returns known, and makes knowsEngines return true from then
// on if it is true.
func (h *Host) latchEnginesKnown(known bool) bool {
	if known {
		h.enginesKnown.Store(true)
	}
	return known
}

// ControlCounts returns the counts of control messages exchanged with other
// routers.
func (h *Host) ControlCounts() peer.Counts {
	if !h.built.Load() {
		return peer.Counts{}
	}
	return h.node.Counts()
}

// registerPeerMetrics registers the metrics of the traffic with other routers and
// of the permits held.
func (h *Host) registerPeerMetrics() {
	h.metrics.Gauge(`peridotusher_peer_bytes{direction="sent"}`, func() float64 { return float64(h.node.Counts().SentBytes) })
	h.metrics.Gauge(`peridotusher_peer_bytes{direction="received"}`, func() float64 { return float64(h.node.Counts().ReceivedBytes) })
	h.registerFleetMetrics()
	h.metrics.Gauge("peridotusher_permits_held", func() float64 { return float64(len(h.ingress.Held())) })
}
