package placing

import (
	"slices"
	"time"
)

// Candidate is a replica that may get the request.
type Candidate struct {
	// Hash identifies the replica.
	Hash uint32
	Zone string
	// Load is the number of requests at the replica, Slots the number that it runs at once.
	Load, Slots int
	// Prefill is the number of prompt tokens that wait to be read there.
	Prefill float64
	// Pace is the slowdown factor of the replica: with 2, work takes twice as long as usual.
	// 0 means that the replica does not report it.
	Pace float64
	// Limited is set if the replica limits its request rate, which the request is within.
	Limited bool
}

// pace returns the reported slowdown factor, or 1 if there is none.
func (c Candidate) pace() float64 {
	if c.Pace > 0 {
		return c.Pace
	}
	return 1
}

// anyReportsPace reports whether a candidate has reported its pace.
func anyReportsPace(candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Pace > 0 })
}

// ignoredRecent is the number of recently placed prompts with a part that are not added to a
// holder's load. The holder's load reports probably include so few already, and counting them
// twice could make the holder appear full, so that another replica would read the part.
const ignoredRecent = 2

// AddRecent adds the recently placed prompts to a holder's load, if there are more than
// ignoredRecent of them.
func AddRecent(candidates []Candidate, holder CacheHolder) {
	if holder.Recent <= ignoredRecent {
		return
	}
	for i := range candidates {
		if candidates[i].Hash == holder.Replica {
			candidates[i].Load += holder.Recent
			return
		}
	}
}

// The reasons of a choice.
const (
	// ReasonHolder means that the replica has the shared part of the prompt cached.
	ReasonHolder = "holder"
	// ReasonHome means that the replica is the first one with free capacity in the rendezvous
	// order of the part.
	ReasonHome = "home"
	// ReasonLeastLoaded means that the replica has the lowest load.
	ReasonLeastLoaded = "least"
	// ReasonSoonest means that the replica was drawn from those expected to answer first, where
	// replicas report their pace.
	ReasonSoonest = "soonest"
)

// Choice is the chosen replica and what the decision was based on.
type Choice struct {
	// Index is the position of the chosen candidate.
	Index int
	// Reason is one of the constants above, for logs and counters.
	Reason string
	// MeanLoad is the mean load of the candidates, in requests.
	MeanLoad float64
	// Expected is the expected time until the first byte, and Estimate is what it was
	// computed from. Both are zero unless replicas report their pace.
	Expected time.Duration
	Estimate Estimate
}

// meanLoad returns the mean load of the candidates, in requests.
func meanLoad(candidates []Candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sum := 0
	for _, c := range candidates {
		sum += c.Load
	}
	return float64(sum) / float64(len(candidates))
}

// Score returns the rendezvous score of a key for the router or replica with the hash.
func Score(key, hash uint64) uint64 {
	x := key ^ hash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// replicaScore returns the rendezvous score of a key for a replica.
func replicaScore(key uint64, hash uint32) uint64 { return Score(key, uint64(hash)*0x9e3779b97f4a7c15) }
