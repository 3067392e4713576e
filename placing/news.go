package placing

import "time"

const (
	// tellLongest is how long new placements are kept to be told.
	tellLongest = 20 * time.Second
	// recentMost bounds the placements that wait to be told. Routers that miss
	// some take over the whole Inventory.
	recentMost = 256
	// originsMost bounds the routers whose placements are counted.
	originsMost = 4096
)

// Origin is one start of a router that tells of its placements.
type Origin struct {
	Name string
	// Incarnation rises with each start of the router.
	Incarnation int64
}

// News are the latest new placements of a router.
type News struct {
	Placements []Placement
	// Told is the number of placements that the router has told since its start,
	// with these, which are the last.
	Told uint64
}

// Heard says that all placements of a router are known up to a number.
type Heard struct {
	Origin
	Told uint64
}

// Inventory is what a router knows of the parts that replicas hold.
type Inventory struct {
	Placements []Placement
	Heard      []Heard
}

// dated is a placement that other routers have to hear of.
type dated struct {
	Placement
	at time.Time
}

// hearing is what is known of another router's placements.
type hearing struct {
	incarnation int64
	told        uint64
	behind      bool // some were missed
}

// tell queues a new placement for the other routers.
func (d *Directory) tell(p Placement, now time.Time) {
	d.told++
	if len(d.recent) >= recentMost {
		d.recent = d.recent[1:]
	}
	d.recent = append(d.recent, dated{p, now})
}

// Recent returns the new placements of the last moments.
func (d *Directory) Recent(last time.Duration) News {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for len(d.recent) > 0 && now.Sub(d.recent[0].at) > tellLongest {
		d.recent = d.recent[1:]
	}
	news := News{Told: d.told}
	for _, r := range d.recent {
		if now.Sub(r.at) <= last {
			news.Placements = append(news.Placements, r.Placement)
		}
	}
	return news
}

// Hear notes placements of another router.
func (d *Directory) Hear(from Origin, news News) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, p := range news.Placements {
		d.note(p, now)
	}
	h, ok := d.heard[from.Name]
	if !ok && len(d.heard) >= originsMost {
		clear(d.heard)
	}
	if h.incarnation != from.Incarnation {
		h = hearing{incarnation: from.Incarnation}
	}
	if news.Told > h.told {
		h.behind = h.behind || news.Told-uint64(len(news.Placements)) > h.told
		h.told = news.Told
	}
	d.heard[from.Name] = h
}

// Behind reports whether placements of the router were missed.
func (d *Directory) Behind(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heard[name].behind
}

// Inventory returns all that is known of the replicas to keep.
func (d *Directory) Inventory(keep func(replica uint32) bool) Inventory {
	d.mu.Lock()
	defer d.mu.Unlock()
	inv := Inventory{Heard: []Heard{{d.self, d.told}}}
	for name, h := range d.heard {
		if !h.behind {
			inv.Heard = append(inv.Heard, Heard{Origin{name, h.incarnation}, h.told})
		}
	}
	since := d.clock.Now().Add(-holdFor)
	for key, list := range d.keys {
		for _, h := range list {
			if h.used.After(since) && keep(h.replica) {
				inv.Placements = append(inv.Placements, Placement{key, h.replica})
			}
		}
	}
	return inv
}

// Take takes over what another router knows.
func (d *Directory) Take(inv Inventory) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, p := range inv.Placements {
		d.note(p, now)
	}
	for _, t := range inv.Heard {
		h := d.heard[t.Name]
		newer := t.Incarnation > h.incarnation || t.Incarnation == h.incarnation && t.Told >= h.told
		if t.Name != d.self.Name && newer {
			d.heard[t.Name] = hearing{incarnation: t.Incarnation, told: t.Told}
		}
	}
}
