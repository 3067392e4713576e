package overload

import (
	"math"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// queueFactor is the number of requests at a replica of a plain service, as a
	// multiple of its slots, up to which it gets more: its calls are short, so
	// that a short queue at the replica costs less than a refusal.
	queueFactor = 3
	// priorityStep is the part of the room that each rank of priority leaves to
	// the ranks before it, priorityMost the largest such part.
	priorityStep = 0.08
	priorityMost = 0.24
	// evenPart is the part of the requests whose rank does not count, so that no
	// kind of request is starved.
	evenPart = 0.3
	// greedyFactor is the multiple of an even share of the requests in flight
	// from which an organisation leaves greedyPart of the room to others.
	greedyFactor = 1.5
	greedyPart   = 0.25
	// greedyLeast is the number of requests in flight below which nobody is.
	greedyLeast = 10
	// refusalHalfLife is the time after which a refusal or an answer counts half.
	refusalHalfLife = 2 * time.Second
	// comeBackLeast and comeBackMost bound the time to come back.
	comeBackLeast = 200 * time.Millisecond
	comeBackMost  = 4 * time.Second
)

// Request is what the limit of a request depends on.
type Request struct {
	// Priority is the rank; 0 is the most urgent.
	Priority     int
	Organisation string
	// Draw is uniform in [0, 1) and the same for all tries of a request.
	Draw float64
	// Slots is the number of requests that the replica runs at once.
	Slots int
	// Engine is set for model engines, whose requests last long.
	Engine bool
}

// Gate limits the requests at the replicas of all services. It is safe for
// concurrent use.
type Gate struct {
	clock peridotusher.Clock

	mu       sync.Mutex
	inFlight int
	held     map[string]int // requests in flight by organisation
	services map[string]*flow
}

// flow is what a service answered and refused lately.
type flow struct {
	answered, refused float64
	took              time.Duration
	at                time.Time
}

// NewGate returns a Gate.
func NewGate(clock peridotusher.Clock) *Gate {
	return &Gate{clock: clock, held: make(map[string]int), services: make(map[string]*flow)}
}

// Limit returns the number of requests at a replica from which the request is not
// sent there.
func (g *Gate) Limit(r Request) int {
	room := float64(max(r.Slots, 1))
	if !r.Engine {
		room *= queueFactor
	}
	part := 1.0
	if r.Draw >= evenPart {
		part -= min(priorityStep*float64(max(r.Priority, 0)), priorityMost)
	}
	if g.greedy(r.Organisation) {
		part -= greedyPart
	}
	return max(int(math.Ceil(room*part)), 1)
}

// greedy reports whether the organisation has far more than an even share of the
// requests in flight.
func (g *Gate) greedy(organisation string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if organisation == "" || g.inFlight < greedyLeast || len(g.held) < 2 {
		return false
	}
	even := float64(g.inFlight) / float64(len(g.held))
	return float64(g.held[organisation]) > greedyFactor*even
}

// Take counts a request in; the function that it returns counts it out.
func (g *Gate) Take(organisation string) (release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
	g.held[organisation]++
	return sync.OnceFunc(func() { g.release(organisation) })
}

func (g *Gate) release(organisation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.held[organisation]--
	if g.held[organisation] <= 0 {
		delete(g.held, organisation)
	}
}

// Answered takes in that the service answered a request after a time.
func (g *Gate) Answered(service string, took time.Duration) {
	const weight = 8
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.flow(service)
	f.answered++
	if f.took == 0 {
		f.took = took
	}
	f.took += (took - f.took) / weight
}

// Refuse takes in that a request of the service was refused, and returns the time
// after which it finds room: as many requests as were refused for each answered
// one have to be answered first.
func (g *Gate) Refuse(service string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.flow(service)
	f.refused++
	ratio := f.refused / max(f.answered, 1)
	return min(max(time.Duration(ratio*float64(f.took)), comeBackLeast), comeBackMost)
}

// flow returns the decayed flow of a service.
func (g *Gate) flow(service string) *flow {
	now := g.clock.Now()
	f, ok := g.services[service]
	if !ok {
		f = &flow{at: now}
		g.services[service] = f
	}
	decay := math.Exp2(-float64(now.Sub(f.at)) / float64(refusalHalfLife))
	f.answered *= decay
	f.refused *= decay
	f.at = now
	return f
}
