package operator

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"peridotusher.example/peridotusher/caller"
)

// Metrics holds the counters of one router.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns empty counters.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// Record counts one finished request.
func (m *Metrics) Record(out caller.Outcome) {
	name := fmt.Sprintf(`peridotusher_requests_total{class=%q,service=%q,verdict=%q,cause=%q}`, out.Class, out.Service, out.Verdict, out.Cause)
	m.set.GetOrCreateCounter(name).Inc()
	if out.FirstToken > 0 {
		name := fmt.Sprintf(`peridotusher_first_token_seconds{class=%q}`, out.Class)
		m.set.GetOrCreateHistogram(name).Update(out.FirstToken.Seconds())
	}
}

// Discarded counts one event that an engine sent out of place.
func (m *Metrics) Discarded(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_stream_events_discarded_total{reason=%q}`, reason)).Inc()
}
