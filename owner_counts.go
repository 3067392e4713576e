package peridotusher

import "sync/atomic"

// Decisions counts an owner's answers to asks.
type Decisions struct {
	Granted    uint64
	Queued     uint64
	Redirected uint64 // refused with another engine, due to the bound or a prefix cached there
	Refused    uint64 // refused without another engine
}

// decisionCounts are the counters that Decisions reads.
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

// Decisions returns the counts of the answers so far.
func (o *Owner) Decisions() Decisions {
	return Decisions{
		Granted:    o.decisions.granted.Load(),
		Queued:     o.decisions.queued.Load(),
		Redirected: o.decisions.redirected.Load(),
		Refused:    o.decisions.refused.Load(),
	}
}
