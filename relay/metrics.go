package relay

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotusher.example/peridotusher/admission"
	"peridotusher.example/peridotusher/httpserve"
)

// maxRoutes and maxServices limit the number of routes and services with metrics of their own.
// The others share the label "other".
const (
	maxRoutes   = 64
	maxServices = 64
)

// Metrics counts requests and their outcomes. A nil *Metrics counts nothing.
type Metrics struct {
	set *metrics.Set

	mu       sync.Mutex
	routes   map[string]bool
	services map[string]bool
}

// NewMetrics returns Metrics that registers in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, routes: make(map[string]bool), services: make(map[string]bool)}
}

// routeLabel returns the label value of a route. The number of values is limited.
func (m *Metrics) routeLabel(route string) string {
	if m == nil {
		return route
	}
	return m.boundedValue(m.routes, route, maxRoutes)
}

// boundedValue returns the value, or "other" if it is new and limit values are known already.
func (m *Metrics) boundedValue(known map[string]bool, value string, limit int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known[value] {
		return value
	}
	if len(known) >= limit {
		return "other"
	}
	known[value] = true
	return value
}

// countCrash counts a request whose replica ended before it had sent anything of the answer.
func (m *Metrics) countCrash() {
	if m != nil {
		m.set.GetOrCreateCounter("peridotusher_crashes_total").Inc()
	}
}

func (m *Metrics) countAnswer(route, outcome string, took time.Duration) {
	if m == nil {
		return
	}
	route = m.routeLabel(route)
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_requests_total{route=%q,outcome=%q}", route, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("peridotusher_request_seconds{route=%q}", route)).Update(took.Seconds())
}

// recordOwnTime records the time that the router itself took before it sent the request, and the time
// for which it delayed the request for another one's read.
func (m *Metrics) recordOwnTime(route string, took, waited time.Duration) {
	if m == nil {
		return
	}
	route = m.routeLabel(route)
	m.set.GetOrCreateHistogram(fmt.Sprintf("peridotusher_own_seconds{route=%q}", route)).Update(took.Seconds())
	if waited > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("peridotusher_read_wait_seconds{route=%q}", route)).Update(waited.Seconds())
	}
}

// countPlacement counts a choice of a replica, and how the replica gets the shared parts of the prompt:
// held, fetched, read, or "" for a request without any.
func (m *Metrics) countPlacement(route, reason, parts string) {
	if m == nil {
		return
	}
	route = m.routeLabel(route)
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_placed_total{route=%q,reason=%q}", route, reason)).Inc()
	if parts != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_parts_total{route=%q,how=%q}", route, parts)).Inc()
	}
}

// recordEstimateError records by how much the first byte of an answer came later or sooner than
// expected.
func (m *Metrics) recordEstimateError(service string, expected, seen time.Duration) {
	if m == nil {
		return
	}
	came, diff := "later", seen-expected
	if diff < 0 {
		came, diff = "sooner", -diff
	}
	service = m.boundedValue(m.services, service, maxServices)
	m.set.GetOrCreateHistogram(fmt.Sprintf("peridotusher_expected_error_seconds{service=%q,came=%q}", service, came)).Update(diff.Seconds())
}

// countWithoutMemory counts replicas that were excluded because the request does not fit into their
// memory.
func (m *Metrics) countWithoutMemory(service string, n int) {
	if m == nil {
		return
	}
	service = m.boundedValue(m.services, service, maxServices)
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_without_memory_total{service=%q}", service)).Add(n)
}

// countBeyondRate counts a request that was refused because all replicas were at their request rates.
func (m *Metrics) countBeyondRate(service string) {
	if m == nil {
		return
	}
	service = m.boundedValue(m.services, service, maxServices)
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_beyond_rate_total{service=%q}", service)).Inc()
}

// countReplaced counts an answer of a replica that the client did not get, because its status would have
// promised that the request had not run.
func (m *Metrics) countReplaced(route string, status int) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_replaced_total{route=%q,status=\"%d\"}", m.routeLabel(route), status)).Inc()
}

// countRetryDecision counts the retry budget's decisions on one more attempt.
func (m *Metrics) countRetryDecision(route string, allowed bool) {
	if m == nil {
		return
	}
	outcome := "refused"
	if allowed {
		outcome = "allowed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_repeats_total{route=%q,outcome=%q}", m.routeLabel(route), outcome)).Inc()
}

// recordAdmission records the outcome of a request for a slot, how long it took and when a refused
// client may retry.
func (m *Metrics) recordAdmission(route string, g admission.Grant, waited time.Duration) {
	if m == nil {
		return
	}
	route = m.routeLabel(route)
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_admission_total{route=%q,state=%q,cause=%q}", route, g.State, g.Cause)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("peridotusher_admission_wait_seconds{route=%q}", route)).Update(waited.Seconds())
	if g.State == admission.Refused {
		m.set.GetOrCreateHistogram(fmt.Sprintf("peridotusher_admission_retry_after_seconds{route=%q}", route)).Update(g.RetryAfter.Seconds())
	}
}

// countWakeUp counts the wake-ups of a background loop.
func (m *Metrics) countWakeUp(loop string) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_wakes_total{loop=%q}", loop)).Inc()
}

// countColdSend counts attempts to send to cold replicas: sent; taken, if another request had
// taken the share; restarted, if the replica had restarted since it was chosen.
func (m *Metrics) countColdSend(outcome string) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_cold_sends_total{outcome=%q}", outcome)).Inc()
}

// countMalformedAnswer counts bytes of a replica that were due to be an answer and are none.
func (m *Metrics) countMalformedAnswer() {
	if m != nil {
		m.set.GetOrCreateCounter("peridotusher_malformed_answers_total").Inc()
	}
}

// countBackoff counts a replica that asked for a backoff.
func (m *Metrics) countBackoff() {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter("peridotusher_backoffs_total").Inc()
}

func (m *Metrics) countAbortedAnswer(route string) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_cut_total{route=%q}", m.routeLabel(route))).Inc()
}

// countRefusedClient counts a client that is refused or disconnected because of what it sends or leaves out.
func (m *Metrics) countRefusedClient(reason httpserve.Refusal) {
	if m != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_refused_clients_total{reason=%q}", string(reason))).Inc()
	}
}

// registerClients registers gauges of what clients occupy.
func (m *Metrics) registerClients(l *httpserve.Limiter) {
	if m == nil {
		return
	}
	m.set.GetOrCreateGauge("peridotusher_client_connections", func() float64 {
		open, _ := l.Stats()
		return float64(open)
	})
	m.set.GetOrCreateGauge("peridotusher_request_head_bytes", func() float64 {
		_, used := l.Stats()
		return float64(used)
	})
}

// registerSlowClients registers gauges of the answer buffer.
func (m *Metrics) registerSlowClients(a *answerBuffer) {
	if m == nil {
		return
	}
	m.set.GetOrCreateGauge("peridotusher_slow_clients", func() float64 {
		slow, _ := a.stats()
		return float64(slow)
	})
	m.set.GetOrCreateGauge("peridotusher_held_answer_bytes", func() float64 {
		_, held := a.stats()
		return float64(held)
	})
	m.set.GetOrCreateCounter("peridotusher_cut_for_memory_total") // registers it, so that it is exported with 0
}

// countMemoryAbort counts an answer that was aborted to free memory for others.
func (m *Metrics) countMemoryAbort() {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter("peridotusher_cut_for_memory_total").Inc()
}

func (m *Metrics) countResume(route string) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_resumed_total{route=%q}", m.routeLabel(route))).Inc()
}
