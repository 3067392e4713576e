package placing

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// holdersMost is the number of replicas that are remembered for a part.
	holdersMost = 24
	// keysMost bounds the number of parts that are remembered.
	keysMost = 20000
	// holdFor is how long a part is taken to be cached after its last use.
	holdFor = 90 * time.Second
	// tellLongest is how long new placements are kept to be told.
	tellLongest = 10 * time.Second
	// recentMost bounds the placements that wait to be told.
	recentMost = 256
)

// Placement says that a replica has read a part.
type Placement struct {
	Key     uint64
	Replica uint32
}

// holder is a replica that has read a part.
type holder struct {
	replica uint32
	used    time.Time
}

// Directory remembers which replicas have read which shared parts of prompts, as
// this router and the others placed them. It is a hint: a replica may have
// dropped a part. It is safe for concurrent use.
type Directory struct {
	clock peridotusher.Clock

	mu     sync.Mutex
	keys   map[uint64][]holder
	recent []told
}

// told is a placement that other routers have to hear of.
type told struct {
	Placement
	at time.Time
}

// NewDirectory returns an empty Directory.
func NewDirectory(clock peridotusher.Clock) *Directory {
	return &Directory{clock: clock, keys: make(map[uint64][]holder)}
}

// Place notes that the router sends a prompt with the part to the replica. Other
// routers are told if the replica did not hold the part before.
func (d *Directory) Place(p Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if !d.note(p, now) {
		return
	}
	if len(d.recent) >= recentMost {
		d.recent = d.recent[1:]
	}
	d.recent = append(d.recent, told{p, now})
}

// Hear notes placements of another router.
func (d *Directory) Hear(placements []Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, p := range placements {
		d.note(p, now)
	}
}

// Recent returns the new placements of the last moments.
func (d *Directory) Recent(last time.Duration) []Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for len(d.recent) > 0 && now.Sub(d.recent[0].at) > tellLongest {
		d.recent = d.recent[1:]
	}
	out := make([]Placement, 0, len(d.recent))
	for _, t := range d.recent {
		if now.Sub(t.at) <= last {
			out = append(out, t.Placement)
		}
	}
	return out
}

// Holders returns the replicas that are taken to have the part cached.
func (d *Directory) Holders(key uint64) []uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	since := d.clock.Now().Add(-holdFor)
	var out []uint32
	for _, h := range d.keys[key] {
		if h.used.After(since) {
			out = append(out, h.replica)
		}
	}
	return out
}

// note adds the replica to the holders of the part and reports whether it was
// none before.
func (d *Directory) note(p Placement, now time.Time) bool {
	list, known := d.keys[p.Key]
	if !known && len(d.keys) >= keysMost {
		d.drop(now)
	}
	for i, h := range list {
		if h.replica == p.Replica {
			list[i].used = now
			return false
		}
	}
	if len(list) >= holdersMost {
		oldest := 0
		for i := range list {
			if list[i].used.Before(list[oldest].used) {
				oldest = i
			}
		}
		list[oldest] = holder{p.Replica, now}
		return true
	}
	d.keys[p.Key] = append(list, holder{p.Replica, now})
	return true
}

// drop forgets parts that were not used for long, or any if there are none.
func (d *Directory) drop(now time.Time) {
	const share = keysMost / 8
	since := now.Add(-holdFor)
	dropped := 0
	for key, list := range d.keys {
		fresh := false
		for _, h := range list {
			fresh = fresh || h.used.After(since)
		}
		if !fresh {
			delete(d.keys, key)
			dropped++
		}
	}
	for key := range d.keys {
		if dropped >= share {
			return
		}
		delete(d.keys, key)
		dropped++
	}
}
