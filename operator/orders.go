package operator

import "fmt"

// RecordOrder counts an event in the life of an order to an engine.
func (m *Metrics) RecordOrder(event string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_orders_total{event=%q}`, event)).Inc()
}

// RecordPrefixCopy counts an attempt to copy a prefix from a leaving engine.
func (m *Metrics) RecordPrefixCopy(ok bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_prefix_copies_total{ok="%t"}`, ok)).Inc()
}

// RecordRuling counts a ruling on an engine, such as its ejection.
func (m *Metrics) RecordRuling(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_engine_rulings_total{kind=%q}`, kind)).Inc()
}
