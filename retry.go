package peridotusher

import (
	"slices"
	"sync"
	"time"
)

const (
	// retryReserve is the number of retries allowed before any request was counted, and
	// the upper limit of the budget.
	retryReserve = 10
	// latencySamples is the number of latencies from which a percentile is computed.
	latencySamples = 256
	// minLatencySamples is the smallest number of latencies for a percentile.
	minLatencySamples = 32
)

// RetryBudget limits retries to a share of the requests, so that a failing zone
// does not multiply the load on the other zones.
type RetryBudget struct {
	mu      sync.Mutex
	started bool
	tokens  float64
	refused int
}

// CountRequest counts one request and adds share to the budget.
func (b *RetryBudget) CountRequest(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.tokens = min(b.tokens+share, retryReserve)
}

// TryRetry takes one retry from the budget and reports whether it is allowed. A share of
// zero allows none.
func (b *RetryBudget) TryRetry(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if share <= 0 || b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	return true
}

// Refused returns the number of retries that were not allowed.
func (b *RetryBudget) Refused() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

func (b *RetryBudget) start() {
	if !b.started {
		b.started = true
		b.tokens = retryReserve
	}
}

// Latencies holds the latest latencies of one kind of call.
type Latencies struct {
	mu      sync.Mutex
	samples [latencySamples]time.Duration
	n       int // number of latencies added
}

// Add adds a latency.
func (l *Latencies) Add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[l.n%latencySamples] = d
	l.n++
}

// Percentile returns the latency below which the share p of the calls lies, and
// whether enough calls were measured.
func (l *Latencies) Percentile(p float64) (time.Duration, bool) {
	l.mu.Lock()
	sorted := slices.Clone(l.samples[:min(l.n, latencySamples)])
	l.mu.Unlock()
	if len(sorted) < minLatencySamples || p <= 0 {
		return 0, false
	}
	slices.Sort(sorted)
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)], true
}
