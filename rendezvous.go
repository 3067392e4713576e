package peridotusher

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Weighted is one candidate of a rendezvous ranking.
type Weighted struct {
	Name   string
	Weight float64
}

// Rank orders the candidates for key by weighted rendezvous hashing, best
// first. When a candidate joins or leaves, only its own share of the keys moves.
func Rank(key string, candidates []Weighted) []string {
	type scored struct {
		name  string
		score float64
	}
	scores := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		if c.Weight <= 0 {
			continue
		}
		scores = append(scores, scored{c.Name, rendezvousScore(key, c)})
	}
	sort.Slice(scores, func(i, j int) bool {
		if scores[i].score != scores[j].score {
			return scores[i].score > scores[j].score
		}
		return scores[i].name < scores[j].name
	})
	names := make([]string, len(scores))
	for i, s := range scores {
		names[i] = s.name
	}
	return names
}

// rendezvousScore maps the hash of key and candidate to -weight/ln(u).
func rendezvousScore(key string, c Weighted) float64 {
	d := xxhash.New()
	d.WriteString(key)
	d.Write([]byte{0})
	d.WriteString(c.Name)
	const mantissaBits = 53
	u := (float64(d.Sum64()>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -c.Weight / math.Log(u)
}
