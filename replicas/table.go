package replicas

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotusher.example/peridotusher"
)

const (
	// handOnFor is how long a replica that leaves or is gone still hands on what
	// it holds.
	handOnFor = 3 * time.Second
	// tombstoneFor is how long it is remembered that a replica is gone, so that
	// an older entry does not bring it back.
	tombstoneFor = 10 * time.Minute
	// partCount is the number of parts of the table that have digests of their own.
	partCount = 64
)

// partOf returns the part of the table to which an id belongs.
func partOf(id string) int { return int(xxhash.Sum64String(id) % partCount) }

// record is the table's row of one id.
type record struct {
	entry   Entry
	replica *Replica
	changed time.Time
}

// view is the immutable result that requests read.
type view struct {
	ready  map[string][]*Replica
	all    map[uint32]*Replica
	gone   map[uint32]*Replica // gone a short time ago
	digest uint64
	parts  [partCount]uint64 // digests of parts of the table
}

// Table holds the replicas of all services.
type Table struct {
	clock peridotusher.Clock

	mu      sync.Mutex
	records map[string]*record
	loads   map[string]*peerLoad
	losses  chan struct{}

	view atomic.Pointer[view]
	wide atomic.Bool
}

// NewTable returns an empty Table.
func NewTable(clock peridotusher.Clock) *Table {
	t := &Table{clock: clock, records: make(map[string]*record), loads: make(map[string]*peerLoad), losses: make(chan struct{}, 1)}
	t.view.Store(&view{})
	return t
}

// Ready returns the replicas of a service that may get new requests. The slice
// must not be changed.
func (t *Table) Ready(service string) []*Replica { return t.view.Load().ready[service] }

// Digest returns a hash of all ready replicas; equal tables have equal digests.
func (t *Table) Digest() uint64 { return t.view.Load().digest }

// Find returns the replica with the short id hash.
func (t *Table) Find(hash uint32) (*Replica, bool) {
	r, ok := t.view.Load().all[hash]
	return r, ok
}

// Source returns the replica with the short id hash, also one that is gone since
// a short time.
func (t *Table) Source(hash uint32) (*Replica, bool) {
	v := t.view.Load()
	r, ok := v.all[hash]
	if !ok {
		r, ok = v.gone[hash]
	}
	if !ok || !r.handsOn(t.clock.Now()) {
		return nil, false
	}
	return r, true
}

// Replicas calls f for each replica that is not gone.
func (t *Table) Replicas(f func(*Replica)) {
	for _, r := range t.view.Load().all {
		f(r)
	}
}

// Offer takes entries in and returns those that changed what may be chosen.
func (t *Table) Offer(entries []Entry) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var changed []Entry
	for _, e := range entries {
		if t.offer(now, e) {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		t.publish()
	}
	return changed
}

// Snapshot takes the store's whole list at a revision. Entries that it lacks are
// gone, unless they may have lapsed in an outage of the store, so that living
// replicas will write them again. It returns the entries that changed what may be
// chosen.
func (t *Table) Snapshot(revision int64, entries []Entry, lapsed bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var changed []Entry
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		if t.offer(now, e) {
			changed = append(changed, e)
		}
	}
	for id, rec := range t.records {
		if lapsed {
			break
		}
		if listed[id] || rec.entry.Gone || rec.entry.Revision > revision {
			continue
		}
		gone := rec.entry
		gone.Gone = true
		gone.Revision = revision
		if t.offer(now, gone) {
			changed = append(changed, gone)
		}
	}
	if len(changed) > 0 {
		t.publish()
	}
	return changed
}

// offer merges one entry and reports whether it changed what may be chosen.
func (t *Table) offer(now time.Time, e Entry) bool {
	rec, known := t.records[e.ID]
	if !known {
		if e.Gone {
			return false
		}
		rec := &record{entry: e, replica: newReplica(e), changed: now}
		rec.replica.leave(now, !e.usable())
		t.records[e.ID] = rec
		return true
	}
	if e.Revision <= rec.entry.Revision {
		return false
	}
	same := rec.entry.sameUse(&e)
	reborn := rec.entry.Address != e.Address || rec.entry.Born != e.Born || rec.entry.Service != e.Service
	if e.Born == 0 && rec.entry.Gone {
		reborn = true // it does not say when it started
	}
	rec.entry = e
	if same {
		return false
	}
	rec.changed = now
	if !e.Gone {
		rec.replica = rec.replica.next(e, reborn)
	}
	rec.replica.leave(now, !e.usable())
	return true
}

// publish builds the view from the records.
func (t *Table) publish() {
	v := &view{ready: make(map[string][]*Replica), all: make(map[uint32]*Replica), gone: make(map[uint32]*Replica)}
	now := t.clock.Now()
	for _, rec := range t.records {
		if rec.entry.Gone {
			if rec.replica.handsOn(now) {
				v.gone[rec.replica.hash] = rec.replica
			}
			continue
		}
		v.all[rec.replica.hash] = rec.replica
		if rec.entry.usable() {
			v.ready[rec.entry.Service] = append(v.ready[rec.entry.Service], rec.replica)
			digest := rec.entry.digest()
			v.digest ^= digest
			v.parts[partOf(rec.entry.ID)] ^= digest
		}
	}
	for _, list := range v.ready {
		sort.Slice(list, func(i, j int) bool { return list[i].entry.ID < list[j].entry.ID })
	}
	t.view.Store(v)
}

// Recent returns the entries whose use changed within told, newest first, at most
// limit of them.
func (t *Table) Recent(limit int, told time.Duration) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var recent []*record
	for _, rec := range t.records {
		if now.Sub(rec.changed) < told {
			recent = append(recent, rec)
		}
	}
	sort.Slice(recent, func(i, j int) bool { return recent[i].changed.After(recent[j].changed) })
	if len(recent) > limit {
		recent = recent[:limit]
	}
	entries := make([]Entry, len(recent))
	for i, rec := range recent {
		entries[i] = rec.entry
	}
	return entries
}

// Parts returns a digest of the ready replicas of each part of the table, into
// which replicas fall by their ids.
func (t *Table) Parts() []uint64 {
	parts := t.view.Load().parts
	return parts[:]
}

// Differing returns the entries, those of gone replicas too, of the parts of which
// another table has another digest: all if it has a different number of parts, none
// if it names no parts.
func (t *Table) Differing(parts []uint64) []Entry {
	if len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.view.Load().parts
	var entries []Entry
	for id, rec := range t.records {
		part := partOf(id)
		if len(parts) != len(own) || own[part] != parts[part] {
			entries = append(entries, rec.entry)
		}
	}
	return entries
}
