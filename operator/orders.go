package operator

import "fmt"

// Order counts an order to an engine by what became of it.
func (m *Metrics) Order(event string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_orders_total{event=%q}`, event)).Inc()
}
