package peridotusher

import (
	"slices"
	"sync"
	"time"
)

const (
	// retryReserve is the number of retries allowed before any request came.
	retryReserve = 10
	// latencySamples is the number of latencies that a percentile is taken of.
	latencySamples = 256
	// minLatencySamples is the number of latencies below which there is no percentile.
	minLatencySamples = 32
)

// RetryBudget allows retries as a share of the requests, so that a failing
// zone does not multiply the load on the others.
type RetryBudget struct {
	mu      sync.Mutex
	started bool
	tokens  float64
	refused int
}

// Request counts one request, which allows share retries.
func (b *RetryBudget) Request(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.tokens = min(b.tokens+share, retryReserve)
}

// Retry takes one retry out of the budget and returns whether there was one.
// A share of zero allows none.
func (b *RetryBudget) Retry(share float64) bool {
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

// Latencies keeps the latest latencies of one kind of call.
type Latencies struct {
	mu      sync.Mutex
	samples [latencySamples]time.Duration
	n       int // latencies added
}

// Add adds a latency.
func (l *Latencies) Add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[l.n%latencySamples] = d
	l.n++
}

// Percentile returns the latency that the share p of the calls stays below,
// and whether enough calls were measured.
func (l *Latencies) Percentile(p float64) (time.Duration, bool) {
	l.mu.Lock()
	kept := slices.Clone(l.samples[:min(l.n, latencySamples)])
	l.mu.Unlock()
	if len(kept) < minLatencySamples || p <= 0 {
		return 0, false
	}
	slices.Sort(kept)
	return kept[min(int(p*float64(len(kept))), len(kept)-1)], true
}
