package placing

import "time"

const (
	// deltaTTL is how long new placements are kept for sending them in heartbeats.
	deltaTTL = 20 * time.Second
	// maxRecentPlacements bounds the placements that are kept for sending them in heartbeats.
	// A router that misses some fetches a Snapshot.
	maxRecentPlacements = 256
	// maxOrigins bounds the routers whose sequence numbers are recorded.
	maxOrigins = 4096
)

// Origin identifies a router, from its start until it stops, that publishes its placements.
type Origin struct {
	Name string
	// Incarnation differs each time that the router starts.
	Incarnation int64
}

// Delta holds the latest new placements of a router.
type Delta struct {
	Placements []Placement
	// Sequence is the sequence number of the last element of Placements: the number of
	// placements that the router has published since its start.
	Sequence uint64
}

// Version is the sequence number up to which all placements of a router are known.
type Version struct {
	Origin
	Sequence uint64
}

// Snapshot holds all placements that a router knows, with the version up to which it knows
// those of each router.
type Snapshot struct {
	Placements []Placement
	Versions   []Version
}

// timedPlacement is a placement to publish and the time when it was made.
type timedPlacement struct {
	Placement
	at time.Time
}

// originState records how far another router's placements have been received.
type originState struct {
	incarnation int64
	sequence    uint64
	stale       bool // whether some were missed
}

// publish queues a new placement for the next heartbeats; d.mu must be held.
func (d *Directory) publish(p Placement, now time.Time) {
	d.sequence++
	if len(d.recentPlacements) >= maxRecentPlacements {
		d.recentPlacements = d.recentPlacements[1:]
	}
	d.recentPlacements = append(d.recentPlacements, timedPlacement{p, now})
}

// Recent returns the new placements of this router that are not older than maxAge.
func (d *Directory) Recent(maxAge time.Duration) Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for len(d.recentPlacements) > 0 && now.Sub(d.recentPlacements[0].at) > deltaTTL {
		d.recentPlacements = d.recentPlacements[1:]
	}
	delta := Delta{Sequence: d.sequence}
	for _, r := range d.recentPlacements {
		if now.Sub(r.at) <= maxAge {
			delta.Placements = append(delta.Placements, r.Placement)
		}
	}
	return delta
}

// Merge records placements of another router, and whether placements between these and the
// ones received earlier were missed.
func (d *Directory) Merge(from Origin, delta Delta) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, p := range delta.Placements {
		d.recordUse(p, now)
	}
	state, ok := d.origins[from.Name]
	if !ok && len(d.origins) >= maxOrigins {
		clear(d.origins)
	}
	if state.incarnation != from.Incarnation {
		state = originState{incarnation: from.Incarnation}
	}
	if delta.Sequence > state.sequence {
		state.stale = state.stale || delta.Sequence-uint64(len(delta.Placements)) > state.sequence
		state.sequence = delta.Sequence
	}
	d.origins[from.Name] = state
}

// Stale reports whether placements of the router were missed.
func (d *Directory) Stale(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.origins[name].stale
}

// Snapshot returns all placements at the replicas for which keep returns true. It leaves out
// the versions of routers of which placements were missed.
func (d *Directory) Snapshot(keep func(replica uint32) bool) Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := Snapshot{Versions: []Version{{d.self, d.sequence}}}
	for name, state := range d.origins {
		if !state.stale {
			snapshot.Versions = append(snapshot.Versions, Version{Origin{name, state.incarnation}, state.sequence})
		}
	}
	since := d.clock.Now().Add(-cacheTTL)
	for key, list := range d.holders {
		for _, h := range list {
			if h.used.After(since) && keep(h.replica) {
				snapshot.Placements = append(snapshot.Placements, Placement{key, h.replica})
			}
		}
	}
	return snapshot
}

// Restore merges the snapshot of another router. If the version of a known router has another
// incarnation than the recorded one, it is ignored, since only heartbeats of that router show
// which incarnation is the later one.
func (d *Directory) Restore(snapshot Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, p := range snapshot.Placements {
		d.recordUse(p, now)
	}
	for _, v := range snapshot.Versions {
		state, ok := d.origins[v.Name]
		newer := !ok || v.Incarnation == state.incarnation && v.Sequence >= state.sequence
		if v.Name != d.self.Name && newer {
			d.origins[v.Name] = originState{incarnation: v.Incarnation, sequence: v.Sequence}
		}
	}
}
