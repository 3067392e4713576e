package placing

const (
	// boundFactor and boundExtra limit what a replica may hold of streams
	// compared with the mean of its service.
	boundFactor = 1.5
	boundExtra  = 2.0
	// prefillBound is the number of waiting prompt tokens above which a replica
	// is passed over if another one may serve: a tenth of a second of reading.
	prefillBound = 12000
)

// Prompt is a request whose prompt shares parts with others.
type Prompt struct {
	// Key identifies the longest shared part of the prompt.
	Key uint64
	// Zone is the router's own availability zone.
	Zone string
	// LocalFirst prefers replicas in the own zone over a key's home elsewhere.
	LocalFirst bool
}

// Choose returns the first replica in the rendezvous order of the key that has
// room, or the least loaded one if none has.
func (p Prompt) Choose(candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	m := mean(candidates)
	choice := Choice{Mean: m, Bound: boundFactor*m + boundExtra}
	best, first := -1, -1
	var bestRank, firstRank uint64
	bestNear, firstNear := false, false
	for i, c := range candidates {
		near := p.LocalFirst && c.Zone == p.Zone
		r := rank(p.Key, c.Hash)
		if first < 0 || better(near, r, firstNear, firstRank) {
			first, firstRank, firstNear = i, r, near
		}
		if float64(c.Held+1) > choice.Bound || c.Held >= c.Slots || c.Prefill > prefillBound {
			continue
		}
		if best < 0 || better(near, r, bestNear, bestRank) {
			best, bestRank, bestNear = i, r, near
		}
	}
	choice.Index, choice.Reason = best, "home"
	switch {
	case best < 0:
		choice.Index, choice.Reason = leastHeld(candidates), "least"
	case best != first:
		choice.Reason = "next"
	}
	return choice, true
}

// better orders by zone, then by rendezvous score.
func better(near bool, r uint64, thanNear bool, than uint64) bool {
	if near != thanNear {
		return near
	}
	return r > than
}

func leastHeld(candidates []Candidate) int {
	best := 0
	for i, c := range candidates {
		if c.Held*candidates[best].Slots < candidates[best].Held*c.Slots {
			best = i
		}
	}
	return best
}
