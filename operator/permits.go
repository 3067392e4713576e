package operator

import (
	"time"
)

// RecordPermit records the wait for one permit that this router obtained, and how many times it asked for it.
func (m *Metrics) RecordPermit(took time.Duration, asks int) {
	m.set.GetOrCreateHistogram("peridotusher_permit_seconds").Update(took.Seconds())
	m.set.GetOrCreateCounter("peridotusher_asks_total").Add(asks)
}

// Gauge registers a gauge whose value fn returns at each scrape.
func (m *Metrics) Gauge(name string, fn func() float64) {
	m.set.GetOrCreateGauge(name, fn)
}
