package placing

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// maxHoldersPerPart bounds the number of holders that are recorded for a part.
	maxHoldersPerPart = 24
	// maxParts bounds the number of parts that are recorded.
	maxParts = 20000
	// cacheTTL is how long a part is assumed to be cached after its last use.
	cacheTTL = 90 * time.Second
	// recentHalfLife is the time after which a recently placed prompt counts half. By then,
	// nearly all reports of the holder's load include it.
	recentHalfLife = 2 * time.Second
)

// Placement records that a replica has read a part of a prompt.
type Placement struct {
	// Key identifies the part.
	Key     uint64
	Replica uint32
}

// CacheHolder is a replica that has a part cached, as an index owner knows it. The index
// owners of a part are the routers that record its holders for all routers.
type CacheHolder struct {
	Replica uint32
	// Recent is the number of recently placed prompts with the part, which reports of the
	// replica's load may not include yet. It decays with recentHalfLife.
	Recent int
	// Reading is set while the replica still reads the part, if the part is large.
	Reading bool
}

// Event is the kind of an event at a replica that a router reports to the index owners of a part.
type Event uint8

// The kinds of events.
const (
	// SentToHolder means that a prompt was sent to a replica that has the part cached.
	SentToHolder Event = iota
	// SentToNewHolder means that a prompt was sent to a replica that did not have the part cached.
	SentToNewHolder
	// ReadStarted means that the replica has begun to read a large part.
	ReadStarted
	// ReadEnded means that the replica has read the large part.
	ReadEnded
)

// holder is a replica that has read a part.
type holder struct {
	replica uint32
	used    time.Time // when the part was last used there
	recent  float64   // recently placed prompts with the part, decayed up to used
	reading time.Time // when it began to read the part; zero if it does not read it now
}

// touch decays recent up to now and sets used to now.
func (h *holder) touch(now time.Time) {
	h.recent *= math.Exp2(-float64(now.Sub(h.used)) / float64(recentHalfLife))
	h.used = now
}

// newHolder returns a holder to which the first prompt with the part is sent.
func newHolder(replica uint32, now time.Time) holder {
	return holder{replica: replica, used: now, recent: 1}
}

// Directory records which replicas have read which shared parts of prompts, from the
// placements of this router and of the others. Its answers are hints, since a replica may have
// evicted a part. It is safe for concurrent use.
type Directory struct {
	clock peridotusher.Clock
	self  Origin

	// queried is closed on the first call of Holders.
	queried   chan struct{}
	queryOnce sync.Once

	mu sync.Mutex
	// holders lists the holders of each part by the part's key.
	holders map[uint64][]holder
	// partCounts holds the number of parts that each replica has cached.
	partCounts map[uint32]int
	// recentPlacements holds the latest placements of this router, and sequence is the
	// sequence number of the last one.
	recentPlacements []timedPlacement
	sequence         uint64
	origins          map[string]originState
	// indexed is set if routers query the index owners for placements, which are then not
	// published to all routers.
	indexed bool
}

// NewDirectory returns an empty Directory of the router self.
func NewDirectory(clock peridotusher.Clock, self Origin) *Directory {
	return &Directory{
		clock: clock, self: self,
		queried: make(chan struct{}), holders: make(map[uint64][]holder),
		partCounts: make(map[uint32]int), origins: make(map[string]originState),
	}
}

// Place records that this router sends a prompt with the part to the replica. If the replica
// did not hold the part before, the placement is published to all other routers, unless the
// directory is indexed.
func (d *Directory) Place(p Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if d.recordUse(p, now) && !d.indexed {
		d.publish(p, now)
	}
}

// SetIndexed sets whether routers query the index owners for the holders of a part. Large
// fleets do, since heartbeats would bring a placement to most routers too late.
func (d *Directory) SetIndexed(indexed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indexed = indexed
}

// Indexed reports whether routers query the index owners for the holders of a part.
func (d *Directory) Indexed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.indexed
}

// Record records events that another router reported: placements, and the begin and end of
// reads.
func (d *Directory) Record(use Event, placements []Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, p := range placements {
		switch use {
		case ReadStarted:
			d.setReading(p, now)
		case ReadEnded:
			d.setReading(p, time.Time{})
		default:
			d.recordUse(p, now)
		}
	}
}

// setReading sets the time at which a holder began to read the part; d.mu must be held.
func (d *Directory) setReading(p Placement, since time.Time) {
	list := d.holders[p.Key]
	for i := range list {
		if list[i].replica == p.Replica {
			list[i].reading = since
		}
	}
}

// TouchHolders returns the replicas that are assumed to have the part cached, for a router that is
// about to use one of them. It marks them as used now, which postpones their expiry.
func (d *Directory) TouchHolders(key uint64) []CacheHolder {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var out []CacheHolder
	list := d.holders[key]
	for i := range list {
		if h := &list[i]; now.Sub(h.used) < cacheTTL {
			h.touch(now)
			out = append(out, CacheHolder{
				Replica: h.replica, Recent: int(math.Round(h.recent)), Reading: now.Sub(h.reading) < readsTTL,
			})
		}
	}
	return out
}

// Queried returns a channel that is closed on the first call of Holders.
func (d *Directory) Queried() <-chan struct{} { return d.queried }

// HoldsAny reports whether the replica is recorded as a holder of any part.
func (d *Directory) HoldsAny(replica uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.partCounts[replica] > 0
}

// Holders returns the replicas that are assumed to have the part cached.
func (d *Directory) Holders(key uint64) []uint32 {
	d.queryOnce.Do(func() { close(d.queried) })
	d.mu.Lock()
	defer d.mu.Unlock()
	since := d.clock.Now().Add(-cacheTTL)
	var out []uint32
	for _, h := range d.holders[key] {
		if h.used.After(since) {
			out = append(out, h.replica)
		}
	}
	return out
}

// recordUse records a prompt with the part at the replica, and reports whether the replica is a
// new holder of the part; d.mu must be held.
func (d *Directory) recordUse(p Placement, now time.Time) bool {
	list, known := d.holders[p.Key]
	if !known && len(d.holders) >= maxParts {
		d.evict(now)
	}
	for i, h := range list {
		if h.replica == p.Replica {
			list[i].touch(now)
			list[i].recent++
			return false
		}
	}
	if len(list) >= maxHoldersPerPart {
		oldest := 0
		for i := range list {
			if list[i].used.Before(list[oldest].used) {
				oldest = i
			}
		}
		d.decrementPartCount(list[oldest].replica)
		list[oldest] = newHolder(p.Replica, now)
		d.partCounts[p.Replica]++
		return true
	}
	d.holders[p.Key] = append(list, newHolder(p.Replica, now))
	d.partCounts[p.Replica]++
	return true
}

// decrementPartCount decrements the number of parts that the replica holds; d.mu must be held.
func (d *Directory) decrementPartCount(replica uint32) {
	if d.partCounts[replica]--; d.partCounts[replica] <= 0 {
		delete(d.partCounts, replica)
	}
}

// removePart removes a part with all its holders; d.mu must be held.
func (d *Directory) removePart(key uint64) {
	for _, h := range d.holders[key] {
		d.decrementPartCount(h.replica)
	}
	delete(d.holders, key)
}

// evict removes the least recently used parts, an eighth of maxParts; d.mu must be held.
func (d *Directory) evict(now time.Time) {
	const batch = maxParts / 8
	type idlePart struct {
		key  uint64
		idle time.Duration
	}
	parts := make([]idlePart, 0, len(d.holders))
	for key, list := range d.holders {
		idle := now.Sub(list[0].used)
		for _, h := range list[1:] {
			idle = min(idle, now.Sub(h.used))
		}
		parts = append(parts, idlePart{key, idle})
	}
	slices.SortFunc(parts, func(a, b idlePart) int { return cmp.Compare(b.idle, a.idle) })
	for _, p := range parts[:min(batch, len(parts))] {
		d.removePart(p.key)
	}
}
