package peridotusher

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// maxRanking is the largest number of engines in a ranking. The other engines of a
// larger fleet are not considered for the request.
const maxRanking = 64

// scoredEngine is an engine's index in a list and its score.
type scoredEngine struct {
	index int
	score float64
}

// RankEngines orders the engines for key by weighted rendezvous hashing, best first.
func RankEngines(key string, engines []Engine) []Engine {
	hash := xxhash.Sum64String(key)
	return pickBest(engines, func(i int) float64 {
		return engineScore(hash, engines[i])
	})
}

// leastLoadedFirst orders the engines by known load, and by key among equals.
func (p *Placer) leastLoadedFirst(key string, ready *candidates) []Engine {
	if p.Loads == nil {
		return RankEngines(key, ready.engines)
	}
	works := p.Loads.Works(ready.ids)
	hash := xxhash.Sum64String(key)
	return pickBest(ready.engines, func(i int) float64 {
		return -float64(works[i]) + fraction(mix(hash, ready.engines[i].hash))
	})
}

// packByClass orders the engines by the hash of the request's class. Engines that have
// capacity by their known loads come first.
func (p *Placer) packByClass(bound float64, req Request, ready *candidates) []Engine {
	if p.Loads == nil {
		return RankEngines(req.Class, ready.engines)
	}
	works := p.Loads.Works(ready.ids)
	total := req.Work
	for _, work := range works {
		total += work
	}
	limit := math.Ceil(bound * float64(total) / float64(max(len(works), 1)))
	hash := xxhash.Sum64String(req.Class)
	return pickBest(ready.engines, func(i int) float64 {
		score := fraction(mix(hash, ready.engines[i].hash))
		if float64(works[i]) >= limit {
			return score - 1
		}
		return score
	})
}

// pickBest returns the engines with the highest scores, best first. Engines with a
// weight of zero are left out.
func pickBest(engines []Engine, score func(i int) float64) []Engine {
	best := make([]scoredEngine, 0, min(maxRanking, len(engines))+1)
	for i, e := range engines {
		if e.weight <= 0 {
			continue
		}
		r := scoredEngine{i, score(i)}
		if len(best) == maxRanking && r.score <= best[maxRanking-1].score {
			continue
		}
		at := sort.Search(len(best), func(k int) bool { return best[k].score < r.score })
		best = append(best, scoredEngine{})
		copy(best[at+1:], best[at:])
		best[at] = r
		best = best[:min(len(best), maxRanking)]
	}
	order := make([]Engine, len(best))
	for k, r := range best {
		order[k] = engines[r.index]
	}
	return order
}

// engineScore maps the hash of key and engine to -weight/ln(u).
func engineScore(key uint64, e Engine) float64 {
	return -e.weight / math.Log(fraction(mix(key, e.hash)))
}

// mix spreads the combination of two hashes over all bits.
func mix(a, b uint64) uint64 {
	h := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// fraction maps a hash to a number between zero and one, both excluded.
func fraction(h uint64) float64 {
	const mantissaBits = 52
	return (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}
