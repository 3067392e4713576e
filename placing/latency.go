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

// UsualTimes records the typical latency of each service. The zero value is ready to use; it is
// safe for concurrent use.
type UsualTimes struct {
	mu       sync.Mutex
	services map[string]*latencyAverage
}

// latencyAverage is the moving average of a service's latency.
type latencyAverage struct {
	Usual
	requests float64 // the number of requests in the average, at most latencySamples
}

// Of returns the typical latency of a service.
func (u *UsualTimes) Of(service string) Usual {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a, ok := u.services[service]; ok {
		return a.Usual
	}
	return Usual{}.orDefault()
}

// orDefault returns u with defaults in place of unknown times.
func (u Usual) orDefault() Usual {
	if u.First <= 0 {
		u.First = defaultLatency
	}
	if u.Whole <= 0 {
		u.Whole = u.First
	}
	return u
}

// Learn adds the latency of a request, as normalized by its Estimate, to the average of the
// service.
func (u *UsualTimes) Learn(service string, measured Usual) {
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
	a.First = a.update(a.First, measured.First)
	a.Whole = a.update(a.Whole, measured.Whole)
}

// update returns the average with the measured time included.
func (a *latencyAverage) update(average, measured time.Duration) time.Duration {
	return max(average+time.Duration(float64(measured-average)/a.requests), minLatency)
}
