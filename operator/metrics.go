package operator

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/httpserve"
)

// Metrics holds the metrics of one router.
type Metrics struct {
	set   *metrics.Set
	clock peridotusher.Clock
	names *nameTable
}

// NewMetrics returns a Metrics without counts.
func NewMetrics(clock peridotusher.Clock) *Metrics {
	m := &Metrics{set: metrics.NewSet(), clock: clock}
	m.names = newNameTable(maxNamedOrganisations, nameIdleTime)
	return m
}

// Record counts one finished request.
func (m *Metrics) Record(out caller.Outcome) {
	name, evicted := m.names.name(out.Organisation, m.clock.Now())
	if evicted != "" {
		m.removeOrganisation(evicted)
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

// CountRefusal counts a client of an address that is refused or disconnected because of what it sends or leaves out.
func (m *Metrics) CountRefusal(address string, reason httpserve.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_refused_clients_total{address=%q,reason=%q}`, address, string(reason))).Inc()
}

// removeOrganisation unregisters the counters of an organisation whose label value was evicted.
func (m *Metrics) removeOrganisation(organisation string) {
	label := fmt.Sprintf(`{organisation=%q,`, organisation)
	for _, name := range m.set.ListMetricNames() {
		if len(name) > len(requestsPrefix)+len(label) && name[:len(requestsPrefix)+len(label)] == requestsPrefix+label {
			m.set.UnregisterMetric(name)
		}
	}
}

const requestsPrefix = "peridotusher_requests_total"

// Source writes metrics that are computed at each scrape.
type Source func(w *Writer)

// Writer writes metrics in the Prometheus text format.
type Writer struct{ w io.Writer }

// Gauge writes a gauge.
func (w *Writer) Gauge(name string, value float64) {
	metrics.WriteGaugeFloat64(w.w, name, value)
}

// Counter writes a counter.
func (w *Writer) Counter(name string, value uint64) {
	metrics.WriteCounterUint64(w.w, name, value)
}

// AddSource registers a source. It must be called before the first scrape.
func (m *Metrics) AddSource(s Source) {
	m.set.RegisterMetricsWriter(func(out io.Writer) { s(&Writer{w: out}) })
}

// writeAll writes all metrics, including those of the process and its file descriptors.
func (m *Metrics) writeAll(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
	metrics.WriteFDMetrics(w)
}

const (
	// maxNamedOrganisations is the maximum number of values of the label organisation.
	maxNamedOrganisations = 200
	// nameIdleTime is the time without requests after which an organisation's label value may be evicted.
	nameIdleTime = time.Hour
)

// RecordDiscarded counts one stream event that was discarded because the engine sent it out of order.
func (m *Metrics) RecordDiscarded(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`peridotusher_stream_events_discarded_total{reason=%q}`, reason)).Inc()
}
