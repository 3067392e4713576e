package operator

import (
	"time"
)

// Permit counts one permit that this router obtained for a request.
func (m *Metrics) Permit(took time.Duration, asks int) {
	m.set.GetOrCreateHistogram("peridotusher_permit_seconds").Update(took.Seconds())
	m.set.GetOrCreateCounter("peridotusher_asks_total").Add(asks)
}

// Gauge shows the value of fn at each reading.
func (m *Metrics) Gauge(name string, fn func() float64) {
	m.set.GetOrCreateGauge(name, fn)
}
