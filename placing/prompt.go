package placing

import (
	"math"
	"slices"
)

const (
	// homeLimitFraction and homeExtraRequests limit the requests at a replica that has to read
	// the part: to this fraction of the service's limit plus this number of requests.
	homeLimitFraction = 0.7
	homeExtraRequests = 2.0
	// holderLimitFraction and holderExtraRequests do so for a replica that has the part cached.
	// The result stays below the service's limit, since the counts of other routers are some
	// tenths of a second out of date.
	holderLimitFraction = 0.95
	holderExtraRequests = 2.5
	// nearLoadFactor and nearExtraRequests define which loads are close to the lowest one.
	nearLoadFactor    = 1.25
	nearExtraRequests = 2.0
	// maxWaitingPrefill is the number of waiting prompt tokens above which a replica gets no
	// part that it has to read, if another replica has capacity. Reading as many takes a
	// quarter of a second.
	maxWaitingPrefill = 12000
	// saturatedShare is the share of a service's replicas below which those with free slots are
	// too few to be the only ones that get requests.
	saturatedShare = 0.5
	// tokensPerRequest is the number of waiting prompt tokens that count as much as one
	// request at the replica.
	tokensPerRequest = 3000
)

// Prompt is a request whose prompt shares parts with other prompts.
type Prompt struct {
	// Key identifies the longest shared part of the prompt.
	Key uint64
	// MaxLoadFactor is the limit for the requests at a replica, as a multiple of the mean.
	MaxLoadFactor float64
	// Holders are the replicas that are assumed to have the part cached.
	Holders []uint32
	// Excluded is the number of replicas of the service that are no candidates but count for
	// the mean, such as unreachable ones and those of evacuated zones, and ExcludedLoad the
	// number of requests at them.
	Excluded, ExcludedLoad int
	// Saturated lets replicas without a free slot get requests; see the function of that name.
	Saturated bool
	// Limited is set if replicas of the service limit their request rates. The others are then
	// above the limit for their load more often, and a replica that has the part cached is preferred
	// to one that would have to read it.
	Limited bool
}

// Saturated reports whether so few of a service's replicas have free slots that requests should be
// spread over all of them. Where the known loads are outdated, all routers would send to the same few
// replicas, which are overloaded by the time of their next reports.
func Saturated(free, all int) bool { return float64(free) < saturatedShare*float64(all) }

// Choose returns the least loaded replica that has the part cached and has free capacity. If
// there is none, it returns the first one with free capacity in the part's rendezvous order,
// so that routers make the same choice independently of each other. If none has free
// capacity, it returns the least loaded one. Replicas that limit their request rates get parts
// to read only if no other one has free capacity.
func (p Prompt) Choose(candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	mean := p.meanLoad(candidates)
	holder, home := -1, -1
	for i, c := range candidates {
		if p.holdsPart(c) {
			if p.holderHasCapacity(c, mean) && p.lessLoaded(candidates, i, holder) {
				holder = i
			}
			continue
		}
		if p.homeHasCapacity(c, mean) && p.betterHome(candidates, i, home) {
			home = i
		}
	}
	if holder < 0 && p.Limited && (home < 0 || candidates[home].Limited) {
		holder = p.nearHolder(candidates)
	}
	choice := Choice{MeanLoad: mean}
	switch {
	case holder >= 0:
		choice.Index, choice.Reason = holder, ReasonHolder
	case home >= 0:
		choice.Index, choice.Reason = home, ReasonHome
	default:
		choice.Index, choice.Reason = p.leastLoaded(candidates), ReasonLeastLoaded
	}
	return choice, true
}

// betterHome reports whether candidate i is to read the part rather than candidate j: one without a
// limit for its request rate, then the first one in the part's rendezvous order.
func (p Prompt) betterHome(candidates []Candidate, i, j int) bool {
	if j < 0 {
		return true
	}
	a, b := candidates[i], candidates[j]
	if a.Limited != b.Limited {
		return b.Limited
	}
	return replicaScore(p.Key, a.Hash) > replicaScore(p.Key, b.Hash)
}

// nearHolder returns the least loaded candidate that has the part cached, if its load is close to the
// lowest one of those that do not limit their request rates; -1 if there is none.
func (p Prompt) nearHolder(candidates []Candidate) int {
	lowest := math.MaxInt
	for _, c := range candidates {
		if !c.Limited {
			lowest = min(lowest, c.Load)
		}
	}
	holder := -1
	for i, c := range candidates {
		if p.holdsPart(c) && float64(c.Load) <= nearLoadFactor*float64(lowest)+nearExtraRequests && p.lessLoaded(candidates, i, holder) {
			holder = i
		}
	}
	return holder
}

// meanLoad returns the mean load of all replicas of the service, in requests.
func (p Prompt) meanLoad(candidates []Candidate) float64 {
	n := float64(len(candidates))
	return (meanLoad(candidates)*n + float64(p.ExcludedLoad)) / (n + float64(p.Excluded))
}

func (p Prompt) holdsPart(c Candidate) bool { return slices.Contains(p.Holders, c.Hash) }

// holderHasCapacity reports whether a replica that has the part cached may get one more request,
// with mean as the mean load of the service's replicas.
func (p Prompt) holderHasCapacity(c Candidate, mean float64) bool {
	return p.hasSlot(c) && float64(c.Load+1) <= holderLimitFraction*p.MaxLoadFactor*mean+holderExtraRequests
}

// homeHasCapacity does so for a replica that has to read the part.
func (p Prompt) homeHasCapacity(c Candidate, mean float64) bool {
	return p.hasSlot(c) &&
		float64(c.Load+1) <= homeLimitFraction*p.MaxLoadFactor*mean+homeExtraRequests && c.Prefill <= maxWaitingPrefill
}

func (p Prompt) hasSlot(c Candidate) bool { return p.Saturated || c.Load < c.Slots }

// lessLoaded reports whether candidate i is less loaded than candidate j, or equally loaded and
// before it in the rendezvous order. Waiting prompt tokens count as load by tokensPerRequest.
func (p Prompt) lessLoaded(candidates []Candidate, i, j int) bool {
	if j < 0 {
		return true
	}
	a, b := candidates[i], candidates[j]
	x := float64(a.Load) + a.Prefill/tokensPerRequest
	y := float64(b.Load) + b.Prefill/tokensPerRequest
	if x != y {
		return x < y
	}
	return replicaScore(p.Key, a.Hash) > replicaScore(p.Key, b.Hash)
}

// leastLoaded returns the candidate with the lowest share of slots taken, and among equal ones the
// first in the part's rendezvous order, so that routers with the same view do not all choose one.
func (p Prompt) leastLoaded(candidates []Candidate) int {
	best := 0
	for i, c := range candidates {
		b := candidates[best]
		load, lowest := c.Load*b.Slots, b.Load*c.Slots
		if load < lowest || load == lowest && replicaScore(p.Key, c.Hash) > replicaScore(p.Key, b.Hash) {
			best = i
		}
	}
	return best
}
