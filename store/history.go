package store

import (
	"sync"
	"time"
)

// history is what the client has seen of the service's revisions.
type history struct {
	mu      sync.Mutex
	highest int64
	rewound time.Time
}

// read takes in the revision that a read or a watch told. It may be stale, so that only a
// higher one says anything.
func (h *history) read(revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.highest = max(h.highest, revision)
}

// latest returns the highest revision that is known.
func (h *history) latest() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.highest
}

// saw takes in the revision that a transaction told which began when before was the
// highest one. If it wrote, its revision is a new one. A lower one means that the service
// was restored from a copy: the revisions of transactions rise.
func (h *history) saw(now time.Time, before, revision int64, wrote bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision < before || wrote && revision == before {
		h.rewound, h.highest = now, revision
		return
	}
	h.highest = max(h.highest, revision)
}

// Rewound returns when this client last noticed that the service was restored from a copy
// and lacks what was written since; zero if never. It does not notice if others have
// written as much since as was lost.
func (c *Client) Rewound() time.Time {
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	return c.history.rewound
}
