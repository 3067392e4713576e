package edge

import "fmt"

// countState registers gauges of what the router knows.
func (r *Router) countState() {
	r.set.NewGauge("peridotusher_configuration_version", func() float64 { return float64(r.current.Version()) })
	r.set.NewGauge("peridotusher_store_epoch", func() float64 { return float64(r.epoch.store().Epoch) })
	r.set.NewGauge("peridotusher_list_age_seconds", func() float64 {
		at, _ := r.reading.last()
		if at.IsZero() {
			return -1
		}
		return r.clock.Now().Sub(at).Seconds()
	})
	r.set.NewGauge("peridotusher_routers", func() float64 { return float64(r.node.RouterCount()) })
	r.set.NewGauge("peridotusher_heartbeats_total", func() float64 { return float64(r.node.Traffic().Heartbeats) })
	r.set.NewGauge("peridotusher_heartbeat_bytes_total", func() float64 { return float64(r.node.Traffic().HeartbeatBytes) })
	r.set.NewGauge("peridotusher_state_bytes_total", func() float64 { return float64(r.node.Traffic().StateBytes) })
	r.set.NewGauge(`peridotusher_wakes_total{loop="heartbeat"}`, func() float64 { return float64(r.node.Traffic().Rounds) })
	r.set.NewGauge(`peridotusher_wakes_total{loop="receive"}`, func() float64 { return float64(r.node.Traffic().Received) })
	r.set.NewGauge(`peridotusher_wakes_total{loop="catch"}`, func() float64 { return float64(r.node.Traffic().Checks) })
	r.set.NewGauge("peridotusher_asked_total", func() float64 { return float64(r.node.Traffic().Queries) })
	r.set.NewGauge("peridotusher_unanswered_total", func() float64 { return float64(r.node.Traffic().Unanswered) })
	r.countAdmission()
	r.set.NewGauge("peridotusher_active_requests", func() float64 { return float64(r.front.Active()) })
	r.set.NewGauge("peridotusher_cold_replicas", func() float64 { return float64(r.cold.cold.Load()) })
	r.set.NewGauge("peridotusher_cold_shares", func() float64 { return float64(r.cold.shares.Load()) })
	r.set.NewGauge("peridotusher_ready", func() float64 {
		if r.Ready() {
			return 1
		}
		return 0
	})
}

// woke counts how often a loop that no request asked for had something to look at.
func (r *Router) woke(loop string) {
	r.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_wakes_total{loop=%q}", loop)).Inc()
}

// countCall counts a call of the store by its kind and outcome.
func (r *Router) countCall(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_store_calls_total{call=%q,outcome=%q}", call, outcome)).Inc()
}
