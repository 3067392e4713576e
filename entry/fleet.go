package entry

import (
	"fmt"

	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/peer"
	"peridotusher.example/peridotusher/store"
)

// controlKinds maps the values of the metrics' kind label to message kinds.
var controlKinds = map[string]peer.Kind{
	"heartbeat": peer.KindHeartbeat,
	"leaving":   peer.KindLeaving,
	"ask":       peer.KindAsk,
	"return":    peer.KindReturn,
	"report":    peer.KindReport,
	"grant":     peer.KindGrant,
	"placed":    peer.KindPlaced,
	"facts":     peer.KindFacts,
	"demands":   peer.KindDemands,
	"delta":     peer.KindDelta,
	"fetch":     peer.KindFetch,
	"health":    peer.KindHealth,
}

// storeCallCounter is a store client that counts its calls by kind.
type storeCallCounter interface {
	Calls() store.Calls
}

// registerFleetMetrics registers the metrics of the control traffic, the
// configuration and the calls to the store.
func (h *Host) registerFleetMetrics() {
	for name, kind := range controlKinds {
		h.registerKindMetrics(name, kind)
	}
	h.metrics.Gauge("peridotusher_members_live", func() float64 { return float64(h.LiveMembers()) })
	h.metrics.Gauge("peridotusher_configuration_revision", func() float64 { return float64(h.source.Revision()) })
	for _, alarm := range []config.Alarm{config.AlarmRewound, config.AlarmDiverged, config.AlarmRefused} {
		h.metrics.Gauge(fmt.Sprintf("peridotusher_configuration_alarm{alarm=%q}", alarm), func() float64 {
			return float64(h.source.Status().Alarms[alarm])
		})
	}
	if calls, ok := h.Store.(storeCallCounter); ok {
		h.registerStoreMetrics(calls)
	}
}

// registerKindMetrics registers the bytes and the shed messages of one message kind.
func (h *Host) registerKindMetrics(name string, kind peer.Kind) {
	gauge := func(direction string, value func(peer.Counts) uint64) {
		metric := fmt.Sprintf("peridotusher_control_bytes{kind=%q,direction=%q}", name, direction)
		h.metrics.Gauge(metric, func() float64 { return float64(value(h.node.Counts())) })
	}
	gauge("sent", func(c peer.Counts) uint64 { return c.Sent[kind].Bytes })
	gauge("received", func(c peer.Counts) uint64 { return c.Received[kind].Bytes })
	h.metrics.Gauge(fmt.Sprintf("peridotusher_control_shed{kind=%q}", name), func() float64 {
		return float64(h.node.Counts().Shed[kind])
	})
}

// registerStoreMetrics registers the calls to the store by kind.
func (h *Host) registerStoreMetrics(calls storeCallCounter) {
	kinds := map[string]func(store.Calls) int64{
		"get":    func(c store.Calls) int64 { return c.Get },
		"list":   func(c store.Calls) int64 { return c.List },
		"swap":   func(c store.Calls) int64 { return c.Swap },
		"delete": func(c store.Calls) int64 { return c.Delete },
		"lease":  func(c store.Calls) int64 { return c.Lease },
		"watch":  func(c store.Calls) int64 { return c.Watch },
	}
	for kind, value := range kinds {
		h.metrics.Gauge(fmt.Sprintf("peridotusher_store_calls{kind=%q}", kind), func() float64 {
			return float64(value(calls.Calls()))
		})
	}
}
