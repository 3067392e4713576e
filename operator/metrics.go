package operator

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
)

// Metrics holds the counters of one router.
type Metrics struct {
	set   *metrics.Set
	clock peridotusher.Clock
	names *nameTable
}

// NewMetrics returns empty counters.
func NewMetrics(clock peridotusher.Clock) *Metrics {
	m := &Metrics{set: metrics.NewSet(), clock: clock}
	m.names = newNameTable(maxNamedOrganisations, nameIdle)
	return m
}

// Record counts one finished request.
func (m *Metrics) Record(out caller.Outcome) {
	name, evicted := m.names.name(out.Organisation, m.clock.Now())
	if evicted != "" {
		m.forget(evicted)
	}
	labels := fmt.Sprintf(`{organisation=%q,class=%q,service=%q,verdict=%q,cause=%q}`, name, out.Class, out.Service, out.Verdict, out.Cause)
	m.set.GetOrCreateCounter("peridotusher_requests_total" + labels).Inc()
	if !out.Complete || !out.InTime {
		m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_requests_late_total{class=%q,service=%q}`, out.Class, out.Service)).Inc()
	}
	if out.FirstToken > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`peridotusher_first_token_seconds{class=%q}`, out.Class)).Update(out.FirstToken.Seconds())
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`peridotusher_request_seconds{class=%q,service=%q}`, out.Class, out.Service)).Update(out.Duration.Seconds())
	if out.PromptTokens > 0 {
		m.set.GetOrCreateCounter("peridotusher_prompt_tokens_total").Add(out.PromptTokens)
		m.set.GetOrCreateCounter("peridotusher_cached_tokens_total").Add(out.CachedTokens)
	}
}

// forget removes the counters of an organisation that lost its name.
func (m *Metrics) forget(organisation string) {
	label := fmt.Sprintf(`{organisation=%q,`, organisation)
	for _, name := range m.set.ListMetricNames() {
		if len(name) > len(requestsPrefix)+len(label) && name[:len(requestsPrefix)+len(label)] == requestsPrefix+label {
			m.set.UnregisterMetric(name)
		}
	}
}

const requestsPrefix = "peridotusher_requests_total"

// Source writes figures that are read when the metrics are.
type Source func(w *Writer)

// Writer writes one figure after the other in the exposition format.
type Writer struct{ w io.Writer }

// Gauge writes a figure that goes up and down.
func (w *Writer) Gauge(name string, value float64) {
	metrics.WriteGaugeFloat64(w.w, name, value)
}

// Counter writes a figure that only rises.
func (w *Writer) Counter(name string, value uint64) {
	metrics.WriteCounterUint64(w.w, name, value)
}

// Add adds a source of figures. It is called before the first reading.
func (m *Metrics) Add(s Source) {
	m.set.RegisterMetricsWriter(func(out io.Writer) { s(&Writer{w: out}) })
}

// write writes every figure and those of the process.
func (m *Metrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
	metrics.WriteFDMetrics(w)
}

const (
	// maxNamedOrganisations bounds the values of the label organisation.
	maxNamedOrganisations = 200
	// nameIdle is the quiet time after which another organisation takes a name.
	nameIdle = time.Hour
)

// Discarded counts one event that an engine sent out of place.
func (m *Metrics) Discarded(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_stream_events_discarded_total{reason=%q}`, reason)).Inc()
}
