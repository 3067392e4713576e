package edge

import (
	"fmt"

	"peridotusher.example/peridotusher/httpserve"
)

// registerMetrics registers gauges of the router's state.
func (r *Router) registerMetrics() {
	r.metricSet.NewGauge("peridotusher_configuration_version", func() float64 { return float64(r.current.Version()) })
	r.metricSet.NewGauge("peridotusher_store_epoch", func() float64 { return float64(r.epoch.position().Epoch) })
	r.metricSet.NewGauge("peridotusher_list_age_seconds", func() float64 {
		at, _ := r.lists.latest()
		if at.IsZero() {
			return -1
		}
		return r.clock.Now().Sub(at).Seconds()
	})
	r.metricSet.NewGauge("peridotusher_routers", func() float64 { return float64(r.node.RouterCount()) })
	r.metricSet.NewGauge("peridotusher_heartbeats_total", func() float64 { return float64(r.node.Traffic().Heartbeats) })
	r.metricSet.NewGauge("peridotusher_heartbeat_bytes_total", func() float64 { return float64(r.node.Traffic().HeartbeatBytes) })
	r.metricSet.NewGauge("peridotusher_state_bytes_total", func() float64 { return float64(r.node.Traffic().StateBytes) })
	r.metricSet.NewGauge(`peridotusher_wakes_total{loop="heartbeat"}`, func() float64 { return float64(r.node.Traffic().Rounds) })
	r.metricSet.NewGauge(`peridotusher_wakes_total{loop="receive"}`, func() float64 { return float64(r.node.Traffic().Received) })
	r.metricSet.NewGauge(`peridotusher_wakes_total{loop="catch"}`, func() float64 { return float64(r.node.Traffic().Checks) })
	r.metricSet.NewGauge("peridotusher_asked_total", func() float64 { return float64(r.node.Traffic().Queries) })
	r.metricSet.NewGauge("peridotusher_unanswered_total", func() float64 { return float64(r.node.Traffic().Unanswered) })
	r.registerAdmissionMetrics()
	r.metricSet.NewGauge("peridotusher_active_requests", func() float64 { return float64(r.proxy.Active()) })
	r.metricSet.NewGauge("peridotusher_quarantine_rules", func() float64 { return float64(len(r.quarantine.Rules())) })
	r.metricSet.NewGauge("peridotusher_cold_replicas", func() float64 { return float64(r.coldReplicas.count.Load()) })
	r.metricSet.NewGauge("peridotusher_cold_shares", func() float64 { return float64(r.coldReplicas.withShare.Load()) })
	r.metricSet.NewGauge("peridotusher_unreachable_replicas", func() float64 { return float64(r.table.CountUnreachable()) })
	r.metricSet.NewGauge("peridotusher_ready", func() float64 {
		if r.Ready() {
			return 1
		}
		return 0
	})
}

// countWakeUp counts the iterations of a background loop.
func (r *Router) countWakeUp(loop string) {
	r.metricSet.GetOrCreateCounter(fmt.Sprintf("peridotusher_wakes_total{loop=%q}", loop)).Inc()
}

// countRefusedReader counts a reader of readiness or metrics that is refused or disconnected.
func (r *Router) countRefusedReader(reason httpserve.Refusal) {
	r.metricSet.GetOrCreateCounter(fmt.Sprintf("peridotusher_refused_readers_total{reason=%q}", string(reason))).Inc()
}

// countStoreCall counts a call to the store by its kind and outcome.
func (r *Router) countStoreCall(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	r.metricSet.GetOrCreateCounter(fmt.Sprintf("peridotusher_store_calls_total{call=%q,outcome=%q}", call, outcome)).Inc()
}
