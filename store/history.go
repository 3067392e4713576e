package store

import (
	"sync"
	"time"
)

// revisionHistory tracks the revisions that the service has reported to a client.
type revisionHistory struct {
	mu        sync.Mutex
	highest   int64
	rewoundAt time.Time
}

// recordRead records the revision that a read reported. A read may be stale, so a
// lower revision than before has no meaning.
func (h *revisionHistory) recordRead(revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.highest = max(h.highest, revision)
}

// highestSeen returns the highest revision that the service has reported since it
// was last found to be restored.
func (h *revisionHistory) highestSeen() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.highest
}

// recordTransaction records the revision that a transaction reported; before is the
// highest revision known when it began. A transaction that wrote has a new revision, and
// the revisions of transactions rise. So a lower one, or an equal one after a write, means
// that the service was restored from a backup.
func (h *revisionHistory) recordTransaction(now time.Time, before, revision int64, wrote bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision < before || wrote && revision == before {
		h.rewoundAt, h.highest = now, revision
		return
	}
	h.highest = max(h.highest, revision)
}

// RewoundAt returns when this client last detected that the service was restored from a
// backup and lost later writes; zero if never. It cannot detect this if since the restore
// there have been as many writes as were lost.
func (c *Client) RewoundAt() time.Time {
	c.revisions.mu.Lock()
	defer c.revisions.mu.Unlock()
	return c.revisions.rewoundAt
}
