package overload

import (
	"math"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// queueFactor is the maximum number of requests at a replica of a plain service, as a
	// multiple of its slots. Requests of plain services are short, so waiting in a short queue
	// at the replica costs less than a refusal.
	queueFactor = 3
	// priorityReserveStep is the share of the capacity that is reserved for more urgent requests,
	// for each rank that is more urgent than the request's. maxPriorityReserve bounds the total.
	priorityReserveStep = 0.08
	maxPriorityReserve  = 0.24
	// unprioritizedShare is the share of the requests whose priority is ignored, so that no
	// priority is starved.
	unprioritizedShare = 0.3
	// fairShareFactor is the multiple of an even share of the requests in flight above which an
	// organisation must leave fairShareReserve of the capacity to others.
	fairShareFactor  = 1.5
	fairShareReserve = 0.25
	// minInFlightForFairShare is the number of requests in flight below which the fair
	// share is not enforced.
	minInFlightForFairShare = 10
	// refusalHalfLife is the time after which a recorded refusal or answer counts half.
	refusalHalfLife = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused client may retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Request holds what the limit for a request depends on.
type Request struct {
	// Priority is the rank; 0 is the most urgent.
	Priority     int
	Organisation string
	// Random is a random number, uniform in [0, 1) and the same for all attempts of a request.
	Random float64
	// Slots is the number of requests that the replica runs at once.
	Slots int
	// Engine is set for model engines, whose requests last long.
	Engine bool
}

// Gate limits the number of requests at a replica, for the replicas of all services. It is safe
// for concurrent use.
type Gate struct {
	clock peridotusher.Clock

	mu             sync.Mutex
	inFlight       int
	byOrganisation map[string]int // requests in flight by organisation
	services       map[string]*serviceStats
}

// serviceStats describes the recent requests of a service.
type serviceStats struct {
	answered, refused float64       // numbers of requests, decayed up to updated
	latency           time.Duration // moving average
	updated           time.Time
}

// NewGate returns a Gate.
func NewGate(clock peridotusher.Clock) *Gate {
	return &Gate{clock: clock, byOrganisation: make(map[string]int), services: make(map[string]*serviceStats)}
}

// Limit returns the number of requests at a replica at which it gets no further request like r.
func (g *Gate) Limit(r Request) int {
	capacity := float64(max(r.Slots, 1))
	if !r.Engine {
		capacity *= queueFactor
	}
	fraction := 1.0
	if r.Random >= unprioritizedShare {
		fraction -= min(priorityReserveStep*float64(max(r.Priority, 0)), maxPriorityReserve)
	}
	if g.exceedsFairShare(r.Organisation) {
		fraction -= fairShareReserve
	}
	return max(int(math.Ceil(capacity*fraction)), 1)
}

// exceedsFairShare reports whether the organisation has more than fairShareFactor times an even
// share of the requests in flight.
func (g *Gate) exceedsFairShare(organisation string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if organisation == "" || g.inFlight < minInFlightForFairShare || len(g.byOrganisation) < 2 {
		return false
	}
	even := float64(g.inFlight) / float64(len(g.byOrganisation))
	return float64(g.byOrganisation[organisation]) > fairShareFactor*even
}

// Begin counts a request as in flight until release is called.
func (g *Gate) Begin(organisation string) (release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
	g.byOrganisation[organisation]++
	return sync.OnceFunc(func() { g.release(organisation) })
}

func (g *Gate) release(organisation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.byOrganisation[organisation]--
	if g.byOrganisation[organisation] <= 0 {
		delete(g.byOrganisation, organisation)
	}
}

// RecordAnswer records that the service answered a request with this latency.
func (g *Gate) RecordAnswer(service string, latency time.Duration) {
	const samples = 8 // of the moving average
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats(service)
	s.answered++
	if s.latency == 0 {
		s.latency = latency
	}
	s.latency += (latency - s.latency) / samples
}

// RecordRefusal records that a request of the service was refused, and returns the time after which
// the client should retry. That is the average latency times the ratio of refused to answered
// requests, since that many other requests have to be answered before the retry.
func (g *Gate) RecordRefusal(service string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats(service)
	s.refused++
	ratio := s.refused / max(s.answered, 1)
	return min(max(time.Duration(ratio*float64(s.latency)), minRetryAfter), maxRetryAfter)
}

// stats returns the statistics of a service, decayed up to now; g.mu must be held.
func (g *Gate) stats(service string) *serviceStats {
	now := g.clock.Now()
	s, ok := g.services[service]
	if !ok {
		s = &serviceStats{updated: now}
		g.services[service] = s
	}
	decay := math.Exp2(-float64(now.Sub(s.updated)) / float64(refusalHalfLife))
	s.answered *= decay
	s.refused *= decay
	s.updated = now
	return s
}
