package peridotusher

import "sync/atomic"

// Decisions counts an owner's answers to asks.
type Decisions struct {
	Granted uint64
	Queued  uint64
	Moved   uint64 // refused by the bound or for a prefix elsewhere, with another engine named
	Refused uint64 // refused with no other engine
}

// decisionCounts are the live counts behind Decisions.
type decisionCounts struct {
	granted, queued, redirected, refused atomic.Uint64
}

func (c *decisionCounts) add(a Answer) {
	switch {
	case a.Granted:
		c.granted.Add(1)
	case a.Queued:
		c.queued.Add(1)
	case a.Next != "":
		c.redirected.Add(1)
	default:
		c.refused.Add(1)
	}
}

// Decisions returns the answers so far.
func (o *Owner) Decisions() Decisions {
	return Decisions{
		Granted: o.decisions.granted.Load(),
		Queued:  o.decisions.queued.Load(),
		Moved:   o.decisions.redirected.Load(),
		Refused: o.decisions.refused.Load(),
	}
}
