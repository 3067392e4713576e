package relay

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxRoutes bounds the number of routes with counters of their own.
const maxRoutes = 64

// Metrics counts what happens to requests. Nil counts nothing.
type Metrics struct {
	set *metrics.Set

	mu     sync.Mutex
	routes map[string]bool
}

// NewMetrics returns counters that register in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, routes: make(map[string]bool)}
}

// label bounds the number of label values.
func (m *Metrics) label(route string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.routes[route] {
		return route
	}
	if len(m.routes) >= maxRoutes {
		return "other"
	}
	m.routes[route] = true
	return route
}

func (m *Metrics) answered(route, outcome string, took time.Duration) {
	if m == nil {
		return
	}
	route = m.label(route)
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_requests_total{route=%q,outcome=%q}", route, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("peridotusher_request_seconds{route=%q}", route)).Update(took.Seconds())
}

func (m *Metrics) placed(route, reason string) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_placed_total{route=%q,reason=%q}", m.label(route), reason)).Inc()
}

func (m *Metrics) cut(route string) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_cut_total{route=%q}", m.label(route))).Inc()
}

func (m *Metrics) resumed(route string) {
	if m == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("peridotusher_resumed_total{route=%q}", m.label(route))).Inc()
}
