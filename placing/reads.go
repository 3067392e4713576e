package placing

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// readsTTL is how long the reads that another router reported stay valid.
	readsTTL = time.Second
	// maxReportedReads bounds the number of reads in a heartbeat.
	maxReportedReads = 32
)

// Reads records which replicas are currently reading which large parts, for requests of this
// router and of others. If a second prompt with the part were sent meanwhile, the replica would
// read the part twice and both requests would wait longer. It is safe for concurrent use.
type Reads struct {
	clock peridotusher.Clock

	mu     sync.Mutex
	own    map[Placement]int
	others map[string]remoteReads
}

// remoteReads holds the reads that another router reported last, and when it did so.
type remoteReads struct {
	at    time.Time
	reads map[Placement]bool
}

// NewReads returns empty Reads.
func NewReads(clock peridotusher.Clock) *Reads {
	return &Reads{clock: clock, own: make(map[Placement]int), others: make(map[string]remoteReads)}
}

// Begin records that a replica begins to read a part for a request of this router. The
// returned function records that the read has ended and may be called more than once.
func (r *Reads) Begin(p Placement) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own[p]++
	return sync.OnceFunc(func() { r.end(p) })
}

func (r *Reads) end(p Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own[p]--; r.own[p] <= 0 {
		delete(r.own, p)
	}
}

// Own returns the current reads for requests of this router, at most maxReportedReads of them.
func (r *Reads) Own() []Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Placement
	for p := range r.own {
		if len(out) >= maxReportedReads {
			break
		}
		out = append(out, p)
	}
	return out
}

// Merge replaces the reads of another router.
func (r *Reads) Merge(router string, reads []Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(reads) == 0 {
		delete(r.others, router)
		return
	}
	remote := remoteReads{at: r.clock.Now(), reads: make(map[Placement]bool, len(reads))}
	for _, p := range reads {
		remote.reads[p] = true
	}
	r.others[router] = remote
}

// Reading reports whether the replica is reading the part for any router.
func (r *Reads) Reading(p Placement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own[p] > 0 {
		return true
	}
	now := r.clock.Now()
	for _, remote := range r.others {
		if remote.reads[p] && now.Sub(remote.at) < readsTTL {
			return true
		}
	}
	return false
}
