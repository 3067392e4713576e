package placing

import (
	"sync"
	"time"
)

const (
	// defaultLatency is the assumed latency of a service that has not answered a request yet.
	defaultLatency = 50 * time.Millisecond
	// minLatency is the shortest typical latency. It is not 0, since costs are divided by
	// typical latencies.
	minLatency = time.Millisecond
	// latencySamples is the number of requests over which latencies are averaged.
	latencySamples = 16
	// maxServices bounds the number of services whose latencies are recorded.
	maxServices = 256
)

// LatencyTracker records the typical latency of each service. The zero value is ready to use; it is
// safe for concurrent use.
type LatencyTracker struct {
	mu       sync.Mutex
	services map[string]*latencyAverage
}

// latencyAverage is the moving average of a service's latency.
type latencyAverage struct {
	Latency
	requests float64 // the number of requests in the average, at most latencySamples
}

// Latency returns the typical latency of a service.
func (u *LatencyTracker) Latency(service string) Latency {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a, ok := u.services[service]; ok {
		return a.Latency
	}
	return Latency{}.orDefault()
}

// orDefault returns u with defaults in place of unknown times.
func (u Latency) orDefault() Latency {
	if u.FirstByte <= 0 {
		u.FirstByte = defaultLatency
	}
	if u.Total <= 0 {
		u.Total = u.FirstByte
	}
	return u
}

// Record adds the latency of a request, as normalized by its Estimate, to the average of the
// service.
func (u *LatencyTracker) Record(service string, measured Latency) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a, ok := u.services[service]
	if !ok {
		if len(u.services) >= maxServices {
			return
		}
		if u.services == nil {
			u.services = make(map[string]*latencyAverage)
		}
		a = &latencyAverage{}
		u.services[service] = a
	}
	a.requests = min(a.requests+1, latencySamples)
	a.FirstByte = a.update(a.FirstByte, measured.FirstByte)
	a.Total = a.update(a.Total, measured.Total)
}

// update returns the average with the measured time included.
func (a *latencyAverage) update(average, measured time.Duration) time.Duration {
	return max(average+time.Duration(float64(measured-average)/a.requests), minLatency)
}
