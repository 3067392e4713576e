package peridotusher

import (
	"cmp"
	"slices"
	"time"

	"peridotusher.example/peridotusher/document"
)

const (
	// copyOverhead is the fixed time of a copy, in addition to the time for its tokens.
	copyOverhead = 5 * time.Millisecond
	// ageOffset is added to a chat's age, so that among two chats of almost the same
	// age the one with more turns comes first.
	ageOffset = 30 * time.Second
)

// CachedChat is a chat whose prefix an engine holds according to its cache events.
type CachedChat struct {
	Chat   ChatKey
	Tokens int
	Turns  int // times that the prefix was stored
	Stored time.Time
}

// returnRate is the expected rate at which the chat returns.
func (c CachedChat) returnRate(now time.Time) float64 {
	age := now.Sub(c.Stored) + ageOffset
	return float64(c.Turns) / age.Seconds()
}

// CopyFaster reports whether copying a prefix takes less time than its prefill at the
// engine that would otherwise compute it.
func CopyFaster(policy document.Rollout, tokens int) bool {
	n := time.Duration(tokens)
	return n*policy.CopyTime()+copyOverhead < n*policy.Prefill()
}

// CopyOrder returns the chats whose prefixes are faster to copy than to compute, those
// that are likely to return soonest first.
func CopyOrder(now time.Time, policy document.Rollout, chats []CachedChat) []CachedChat {
	selected := slices.DeleteFunc(slices.Clone(chats), func(c CachedChat) bool {
		return !CopyFaster(policy, c.Tokens)
	})
	slices.SortFunc(selected, func(a, b CachedChat) int {
		return cmp.Or(cmp.Compare(b.returnRate(now), a.returnRate(now)), cmp.Compare(a.Chat, b.Chat))
	})
	return selected
}

// CopyTarget returns the engine that will serve a chat after the engine from has left:
// the next in the chat's ranking.
func (p *Placer) CopyTarget(doc *document.Document, from Engine, organisation string, chat ChatKey) (Engine, bool) {
	for _, v := range from.report.Versions {
		model, ok := doc.Model(v.Model)
		if !ok {
			continue
		}
		req := Request{Chat: chat, Organisation: organisation, Model: v.Model, Version: p.Version(model, chat)}
		ranking, err := p.Ranking(doc, req)
		if err != nil {
			continue
		}
		for _, e := range ranking {
			if e.ID() != from.ID() {
				return e, true
			}
		}
	}
	return Engine{}, false
}
