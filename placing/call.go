package placing

// zonePenalty is added to the utilization of a replica in another availability zone: an idle
// replica there is preferred once the one in the router's own zone has more than this share
// of its slots taken.
const zonePenalty = 0.34

// Call is a request to a plain service, which any replica serves equally well.
type Call struct {
	// Zone is the router's own availability zone.
	Zone string
	// Seed is a random value of the request. It decides between equal candidates.
	Seed uint64
	// Latency is the typical latency of the service. It is used where replicas report their
	// pace.
	Latency Latency
	// Tokens is the number of prompt tokens that a replica has to read.
	Tokens int
}

// Choose returns the least loaded replica, with a penalty for those of other zones. Where
// replicas report their pace, it draws one at random and prefers those that are expected to
// answer soonest.
func (c Call) Choose(candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if anyReportsPace(candidates) {
		return c.chooseSoonest(candidates), true
	}
	return c.chooseLeastLoaded(candidates), true
}

func (c Call) chooseLeastLoaded(candidates []Candidate) Choice {
	best := -1
	var bestLoad float64
	var bestScore uint64
	for i, cand := range candidates {
		load := c.utilization(cand)
		score := replicaScore(c.Seed, cand.Hash)
		if best < 0 || load < bestLoad || load == bestLoad && score > bestScore {
			best, bestLoad, bestScore = i, load, score
		}
	}
	return Choice{Index: best, Reason: ReasonLeastLoaded, MeanLoad: meanLoad(candidates)}
}

// utilization returns the share of a candidate's slots that is taken, plus zonePenalty if the
// candidate is in another zone.
func (c Call) utilization(cand Candidate) float64 {
	load := float64(cand.Load) / float64(max(cand.Slots, 1))
	if cand.Zone != c.Zone {
		load += zonePenalty
	}
	return load
}
