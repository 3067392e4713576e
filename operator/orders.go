package operator

import "fmt"

// Order counts an order to an engine by what became of it.
func (m *Metrics) Order(event string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_orders_total{event=%q}`, event)).Inc()
}

// Copy counts a prefix copied from a leaving engine, or one that was not.
func (m *Metrics) Copy(ok bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_prefix_copies_total{ok="%t"}`, ok)).Inc()
}

// Ruling counts a change of an engine's standing.
func (m *Metrics) Ruling(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_engine_rulings_total{kind=%q}`, kind)).Inc()
}
