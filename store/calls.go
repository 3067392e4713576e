package store

import "sync/atomic"

// Calls counts requests to the service by kind. A watch counts as one.
type Calls struct {
	Get    int64
	List   int64
	Swap   int64
	Delete int64
	Lease  int64
	Watch  int64
}

// counters holds the running counts that Calls returns.
type counters struct {
	get, list, swap, delete, lease, watch atomic.Int64
}

// Calls returns the number of requests sent so far, by kind.
func (c *Client) Calls() Calls {
	return Calls{
		Get:    c.counts.get.Load(),
		List:   c.counts.list.Load(),
		Swap:   c.counts.swap.Load(),
		Delete: c.counts.delete.Load(),
		Lease:  c.counts.lease.Load(),
		Watch:  c.counts.watch.Load(),
	}
}
