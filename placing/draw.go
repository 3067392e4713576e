package placing

import "math"

const (
	// minDrawWidth and drawWidthGrowth determine the difference in cost within which replicas
	// count as nearly equal, in units of a request's typical latency. It grows with the square
	// of the load: all routers receive the same delayed reports and may all prefer the same
	// replica, and the busier the replicas are, the longer that lasts.
	minDrawWidth    = 0.1
	drawWidthGrowth = 2.0
)

// draw is a weighted random choice among candidates by cost. A candidate that costs one width
// more than another is drawn 1/e times as often.
type draw struct {
	spread uint64
	width  float64

	index   int // of the candidate that is chosen so far; -1 if there is none
	minRace float64
}

// newDraw returns an empty draw for a request with a typical latency of unit. It takes the
// mean load from the candidates, which are added later.
func newDraw(spread uint64, candidates []Candidate, unit float64) *draw {
	held, slots := 0, 0
	for _, c := range candidates {
		held += c.Load
		slots += max(c.Slots, 1)
	}
	load := float64(max(held, 0)) / float64(max(slots, 1))
	return &draw{spread: spread, width: (minDrawWidth + drawWidthGrowth*load*load) * unit, index: -1}
}

// add adds a candidate. Each candidate gets an exponentially distributed time, whose mean
// depends on the cost and which is computed from the replica's hash and spread; the shortest
// time wins. race is the logarithm of that time.
func (d *draw) add(i int, hash uint32, cost float64) {
	race := cost/d.width + math.Log(-math.Log1p(-uniform(replicaScore(d.spread, hash))))
	if d.index < 0 || race < d.minRace {
		d.index, d.minRace = i, race
	}
}

// uniform maps a hash to a number that is uniform in (0, 1).
func uniform(hash uint64) float64 {
	const mantissaBits = 53
	return (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}
