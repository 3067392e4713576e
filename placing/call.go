package placing

// zonePenalty is the load, as a part of a replica's slots, at which a replica
// of the own zone is left for an idle one of another.
const zonePenalty = 0.34

// Call is a request of a plain service, which any replica serves equally well.
type Call struct {
	// Zone is the router's own availability zone.
	Zone string
	// Spread picks among equals; it differs from request to request.
	Spread uint64
}

// Choose returns the least loaded replica, those of the own zone first.
func (c Call) Choose(candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best := -1
	var bestLoad float64
	var bestRank uint64
	for i, cand := range candidates {
		load := float64(cand.Held) / float64(max(cand.Slots, 1))
		if cand.Zone != c.Zone {
			load += zonePenalty
		}
		r := rank(c.Spread, cand.Hash)
		if best < 0 || load < bestLoad || load == bestLoad && r > bestRank {
			best, bestLoad, bestRank = i, load, r
		}
	}
	return Choice{Index: best, Reason: Least, Mean: mean(candidates)}, true
}
