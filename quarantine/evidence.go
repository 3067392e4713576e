package quarantine

import (
	"slices"
	"time"
)

// evidence is what is known of the parts of suspects: where each was seen, and when a replica
// last began to answer a request with it.
type evidence struct {
	seen    map[uint64][]sighting // in the order of the crashes
	soundAt map[uint64]time.Time
}

// sighting is a crash of a request with a part.
type sighting struct {
	crash  *crash
	sentAt time.Time // when the last such request was sent
}

// newEvidence returns the evidence of crashes, which are in the order of their times.
func newEvidence(crashes []*crash, soundAt map[uint64]time.Time) evidence {
	e := evidence{seen: make(map[uint64][]sighting), soundAt: soundAt}
	for _, c := range crashes {
		for _, s := range c.suspects {
			for _, part := range s.parts {
				e.add(part, sighting{crash: c, sentAt: c.at.Add(-s.duration)})
			}
		}
	}
	return e
}

// add adds a sighting of a part. Sightings of the same crash count as one.
func (e evidence) add(part uint64, s sighting) {
	seen := e.seen[part]
	if n := len(seen); n > 0 && seen[n-1].crash == s.crash {
		if s.sentAt.After(seen[n-1].sentAt) {
			seen[n-1].sentAt = s.sentAt
		}
		return
	}
	e.seen[part] = append(seen, s)
}

// sinceSound returns the sightings of a part since a replica last began to answer it.
func (e evidence) sinceSound(part uint64) []sighting {
	seen := e.seen[part]
	since := e.soundAt[part]
	i := slices.IndexFunc(seen, func(s sighting) bool { return s.crash.at.After(since) })
	if i < 0 {
		return nil
	}
	return seen[i:]
}

// rules returns the rules that follow from the evidence, without those that others imply.
func (e evidence) rules(now time.Time) []Rule {
	var out []Rule
	for part := range e.seen {
		if rule, ok := e.rule(part); ok && !containsRule(out, rule) {
			out = append(out, rule)
		}
	}
	out = withoutImplied(out)
	slices.SortFunc(out, func(a, b Rule) int { return slices.Compare(a.parts, b.parts) })
	if countInForce(out, now) > maxRules {
		return nil
	}
	return out
}

// rule returns the rule that follows from the crashes of requests with a part.
func (e evidence) rule(part uint64) (rule Rule, ok bool) {
	seen := e.sinceSound(part)
	if countSuccessive(seen) < minCrashes {
		return Rule{}, false
	}
	until := seen[len(seen)-1].crash.at.Add(blockTime(seen))
	return Rule{parts: e.common(seen), crashes: len(seen), until: until}, true
}

// common returns the parts, in rising order, that were at all the crashes and not sound since.
func (e evidence) common(crashes []sighting) []uint64 {
	var out []uint64
	for _, s := range crashes[0].crash.suspects {
		for _, part := range s.parts {
			if includes(e.sinceSound(part), crashes) {
				out = append(out, part)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// includes reports whether all the crashes of some sightings are among those of others. Both are
// in the order of the crashes.
func includes(all, some []sighting) bool {
	i := 0
	for _, s := range all {
		if i < len(some) && some[i].crash == s.crash {
			i++
		}
	}
	return i == len(some)
}

// orderTolerance is the error of the order of events that different routers report: their ages are
// off by the network delay and by a millisecond of rounding.
const orderTolerance = 20 * time.Millisecond

// countSuccessive counts the crashes that hit a request that was sent after the counted crash
// before. Replicas that end at the same time for another reason count once.
func countSuccessive(seen []sighting) int {
	n := 0
	var previous time.Time
	for _, s := range seen {
		if s.sentAt.Add(orderTolerance).After(previous) {
			n++
			previous = s.crash.at
		}
	}
	return n
}

// blockTime returns how long requests are blocked after the last of the crashes.
func blockTime(seen []sighting) time.Duration {
	block := minBlock
	for i := 1; i < len(seen); i++ {
		if seen[i].crash.at.Sub(seen[i-1].crash.at) >= block {
			block = min(2*block, maxBlock)
		}
	}
	return block
}
