package peridotusher

import (
	"cmp"
	"slices"
	"time"

	"peridotusher.example/peridotusher/document"
)

const (
	// copyOverhead is the time of a copy beyond that of its tokens.
	copyOverhead = 5 * time.Millisecond
	// minReturnAge is added to a chat's age, so that of two chats of almost
	// the same age the one with more turns goes first.
	minReturnAge = 30 * time.Second
)

// CachedChat is a chat whose prefix an engine holds, as its cache events say.
type CachedChat struct {
	Chat   ChatKey
	Tokens int
	Turns  int // times that the prefix was stored
	Stored time.Time
}

// returnRate is the expected rate at which the chat returns.
func (c CachedChat) returnRate(now time.Time) float64 {
	age := now.Sub(c.Stored) + minReturnAge
	return float64(c.Turns) / age.Seconds()
}

// CopyFaster returns whether the copy of a prefix takes less time than its
// prefill at the engine that would have to compute it.
func CopyFaster(policy document.Rollout, tokens int) bool {
	n := time.Duration(tokens)
	return n*policy.CopyTime()+copyOverhead < n*policy.Prefill()
}

// CopyOrder returns the chats whose prefixes are worth copying, those that are
// likely to return soonest first.
func CopyOrder(now time.Time, policy document.Rollout, chats []CachedChat) []CachedChat {
	worth := slices.DeleteFunc(slices.Clone(chats), func(c CachedChat) bool {
		return !CopyFaster(policy, c.Tokens)
	})
	slices.SortFunc(worth, func(a, b CachedChat) int {
		return cmp.Or(cmp.Compare(b.returnRate(now), a.returnRate(now)), cmp.Compare(a.Chat, b.Chat))
	})
	return worth
}

// CopyTarget returns the engine that a chat goes to once the engine from has
// left, the next in its ranking.
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
