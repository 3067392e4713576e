package placing

const (
	// exploreOneIn is the number of calls of which one ignores the pace. Otherwise a slow
	// replica might get no requests at all, and could not report that it has recovered.
	exploreOneIn = 128
	// loadWeight is the cost of a replica with all slots taken, in units of the typical
	// latency and in addition to the expected wait, since a load persists for longer than a
	// reported pace. With half the weight, more calls leave their zone for a replica that is
	// faster only for a short time.
	loadWeight = 2.0
)

// chooseSoonest draws a replica by the expected time until its first byte and by its load.
func (c Call) chooseSoonest(candidates []Candidate) Choice {
	e := Estimate{Zone: c.Zone, Latency: c.Latency.orDefault(), Tokens: c.Tokens}
	unit := float64(e.Latency.FirstByte)
	explore := c.Seed%exploreOneIn == 0
	d := newDraw(c.Seed, candidates, unit)
	for i, cand := range candidates {
		if explore {
			cand.Pace = 0
		}
		d.add(i, cand.Hash, float64(e.FirstByte(cand))+loadWeight*c.utilization(cand)*unit)
	}
	return e.choose(candidates, d.index, ReasonSoonest)
}

// choose returns the Choice of candidate i with the expected time until its first byte.
func (e Estimate) choose(candidates []Candidate, i int, reason string) Choice {
	return Choice{
		Index: i, Reason: reason, MeanLoad: meanLoad(candidates), Estimate: e, Expected: e.FirstByte(candidates[i]),
	}
}
