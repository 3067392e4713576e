package operator

import "fmt"

// Order counts an event in the life of an order to an engine.
func (m *Metrics) Order(event string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_orders_total{event=%q}`, event)).Inc()
}

// Copy counts an attempt to copy a prefix from a leaving engine.
func (m *Metrics) Copy(ok bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_prefix_copies_total{ok="%t"}`, ok)).Inc()
}

// Ruling counts a ruling on an engine, such as its ejection.
func (m *Metrics) Ruling(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_engine_rulings_total{kind=%q}`, kind)).Inc()
}
