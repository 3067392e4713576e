package entry

import (
	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/peer"
)

// LiveMembers returns the number of routers that this one hears, itself included.
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

// ReadyEngines returns the number of engines that have reported their load.
func (h *Host) ReadyEngines() int {
	if !h.built.Load() {
		return 0
	}
	return len(h.engines.Select(func(e peridotusher.Engine) bool {
		_, reported := e.Report()
		return reported && e.State() == peridotusher.EngineLive
	}))
}

// knowsEngines returns whether an engine's load has been known, or none is
// needed. Before that the router would refuse every chat.
func (h *Host) knowsEngines() bool {
	if h.known.Load() {
		return true
	}
	doc := h.Document()
	known := h.ReadyEngines() > 0 || doc != nil && len(doc.Models()) == 0
	if known {
		h.known.Store(true)
	}
	return known
}

// ControlCounts returns the bytes exchanged with other routers.
func (h *Host) ControlCounts() peer.Counts {
	if !h.built.Load() {
		return peer.Counts{}
	}
	return h.node.Counts()
}

// measurePeers shows the bytes exchanged with other routers to the operators.
func (h *Host) measurePeers() {
	h.metrics.Gauge(`peridotusher_peer_bytes{direction="sent"}`, func() float64 { return float64(h.node.Counts().SentBytes) })
	h.metrics.Gauge(`peridotusher_peer_bytes{direction="received"}`, func() float64 { return float64(h.node.Counts().ReceivedBytes) })
	h.measureFleet()
	h.metrics.Gauge("peridotusher_permits_held", func() float64 { return float64(len(h.ingress.Held())) })
}
