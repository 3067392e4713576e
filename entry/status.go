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

// knowsEngines returns whether the router has learned what at least half of the
// live engines of its zone have loaded, or needs none. Before that it would
// refuse chats or place them by too few engines. The engines of other zones do
// not count, because a zone that is cut off has to become ready too.
func (h *Host) knowsEngines() bool {
	if h.learned.Load() {
		return true
	}
	doc := h.Document()
	if doc != nil && len(doc.Models()) == 0 {
		return true
	}
	near := h.engines.Select(h.liveInZone)
	if len(near) == 0 {
		return h.learn(h.ReadyEngines() > 0)
	}
	reported := 0
	for _, e := range near {
		if _, ok := e.Report(); ok {
			reported++
		}
	}
	return h.learn(2*reported >= len(near))
}

func (h *Host) liveInZone(e peridotusher.Engine) bool {
	return e.State() == peridotusher.EngineLive && string(e.Zone()) == h.Zone
}

// learn remembers that the engines are known well enough.
func (h *Host) learn(known bool) bool {
	if known {
		h.learned.Store(true)
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
