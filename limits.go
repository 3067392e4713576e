package peridotusher

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotusher.example/peridotusher/document"
)

const (
	// maxDemandAge is the age from which another router's demand is ignored.
	maxDemandAge = 3 * time.Second
	// demandAveragingTime is the time over which a router's own demand is averaged.
	demandAveragingTime = time.Second
	// baseDemand is the demand, in requests a second, that is added for every router,
	// so that a router without demand has a share for its first requests.
	baseDemand = 0.5
)

// Demand is one router's demand for one organisation.
type Demand struct {
	Organisation string
	Rate         float64 // requests a second, whether admitted or not
	Concurrent   float64 // requests in flight and recently refused
}

// Limits enforces the limits of organisations over all routers. There is no
// central counter: each router may use a share of a limit, in proportion to its
// part of the total demand. The routers report their demand to each other.
type Limits struct {
	Self  RouterID
	Clock Clock

	mu     sync.Mutex
	own    map[string]*orgUsage
	others map[RouterID]peerDemand
}

// orgUsage is this router's use of one organisation's limits.
type orgUsage struct {
	inFlight  int
	requests  TokenBucket // for the limit of requests a second
	rate      float64     // averaged demand
	refusals  float64     // averaged number of refusals due to the limit of requests in flight
	decayedAt time.Time
}

// peerDemand is the demand that another router reported, and when.
type peerDemand struct {
	at   time.Time
	list map[string]Demand
}

// Begin admits one request of the organisation, or returns a Failure with the
// verdict NotRun. The returned function must be called when the request ends.
func (l *Limits) Begin(org *document.Organisation) (func(), error) {
	if org.RequestsPerSecond() == 0 && org.Concurrent() == 0 {
		return func() {}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	u := l.usage(org.Name(), now)
	u.decay(now)
	u.rate += 1 / demandAveragingTime.Seconds()
	if org.Concurrent() > 0 && u.inFlight >= l.inFlightShare(org, u, now) {
		u.refusals++
		return nil, Fail(NotRun, CauseOrgLimit, "the organisation has %d requests in flight, its limit", org.Concurrent()).WithRetryAfter(minRetryAfter)
	}
	if org.RequestsPerSecond() > 0 {
		share := org.RequestsPerSecond() * l.rateShare(org.Name(), u, now)
		if wait := u.takeToken(now, share); wait > 0 {
			return nil, Fail(NotRun, CauseOrgLimit, "the organisation sends more than %g requests a second, its limit", org.RequestsPerSecond()).WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
		}
	}
	u.inFlight++
	var once sync.Once
	return func() { once.Do(func() { l.end(u) }) }, nil
}

func (l *Limits) end(u *orgUsage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.inFlight--
}

// Demands returns this router's own demand.
func (l *Limits) Demands() []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	var list []Demand
	for name, u := range l.own {
		u.decay(now)
		d := Demand{Organisation: name, Rate: u.rate, Concurrent: float64(u.inFlight) + u.refusals}
		if d.Rate > baseDemand || d.Concurrent > baseDemand {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b Demand) int { return strings.Compare(a.Organisation, b.Organisation) })
	return list
}

// SetDemands records another router's demand.
func (l *Limits) SetDemands(from RouterID, list []Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reported := peerDemand{at: l.Clock.Now(), list: make(map[string]Demand, len(list))}
	for _, d := range list {
		reported.list[d.Organisation] = d
	}
	if l.others == nil {
		l.others = map[RouterID]peerDemand{}
	}
	l.others[from] = reported
}

func (l *Limits) usage(org string, now time.Time) *orgUsage {
	if l.own == nil {
		l.own = map[string]*orgUsage{}
	}
	u, ok := l.own[org]
	if !ok {
		u = &orgUsage{requests: NewTokenBucket(now, 1), decayedAt: now}
		l.own[org] = u
	}
	return u
}

// rateShare returns this router's part of the demand.
func (l *Limits) rateShare(org string, u *orgUsage, now time.Time) float64 {
	own := u.rate + baseDemand
	sum := own
	for _, reported := range l.others {
		if now.Sub(reported.at) < maxDemandAge {
			sum += reported.list[org].Rate + baseDemand
		}
	}
	return own / sum
}

// inFlightShare returns how many requests may be in flight at this router. Routers
// that know the same demands compute shares that sum to the limit.
func (l *Limits) inFlightShare(org *document.Organisation, u *orgUsage, now time.Time) int {
	demands := map[RouterID]float64{l.Self: float64(u.inFlight) + u.refusals + baseDemand}
	for id, reported := range l.others {
		if now.Sub(reported.at) < maxDemandAge {
			demands[id] = reported.list[org.Name()].Concurrent + baseDemand
		}
	}
	return splitLimit(org.Concurrent(), demands)[l.Self]
}

// splitLimit divides the limit in proportion to the demands, by largest remainders.
func splitLimit(limit int, demands map[RouterID]float64) map[RouterID]int {
	type part struct {
		id        RouterID
		remainder float64
	}
	ids := slices.Sorted(maps.Keys(demands)) // the same order of floating-point additions on every router
	sum := 0.0
	for _, id := range ids {
		sum += demands[id]
	}
	shares := make(map[RouterID]int, len(demands))
	parts := make([]part, 0, len(demands))
	remaining := limit
	for _, id := range ids {
		exact := float64(limit) * demands[id] / sum
		shares[id] = int(exact)
		remaining -= shares[id]
		parts = append(parts, part{id, exact - float64(shares[id])})
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.id, b.id))
	})
	for k := range remaining {
		shares[parts[k%len(parts)].id]++
	}
	return shares
}

// takeToken takes a token, or returns the time until there is one.
func (u *orgUsage) takeToken(now time.Time, perSecond float64) time.Duration {
	u.requests.Refill(now, perSecond, max(perSecond, 1))
	missing := u.requests.Missing(1)
	if missing <= 0 {
		u.requests.Take()
		return 0
	}
	return time.Duration(missing / max(perSecond, baseDemand) * float64(time.Second))
}

// decay lowers the averaged demand linearly with the time since the last call.
func (u *orgUsage) decay(now time.Time) {
	elapsed := now.Sub(u.decayedAt)
	u.decayedAt = now
	if elapsed <= 0 {
		return
	}
	remaining := max(0, 1-elapsed.Seconds()/demandAveragingTime.Seconds())
	u.rate *= remaining
	u.refusals *= remaining
}
