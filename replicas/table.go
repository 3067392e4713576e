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
	// sourceFor is how long cached parts can still be fetched from a replica that leaves or
	// is gone.
	sourceFor = 3 * time.Second
	// tombstoneFor is how long the record of a gone replica is kept, so that an older
	// entry does not bring it back.
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
	// published is how often Recent has returned the entry since it changed.
	published int
}

// view is the immutable snapshot of the table that requests read without a lock.
type view struct {
	ready map[string][]*Replica
	// withheld are the ready replicas of evacuated zones, which get no requests.
	withheld map[string][]*Replica
	zones    map[string]bool // evacuated
	all      map[uint32]*Replica
	ids      map[string]*Replica // those of all by id
	gone     map[uint32]*Replica // gone a short time ago
	digest   uint64
	parts    [partCount]uint64 // digests of parts of the table
	// coldUntil is when the first of the replicas that are cold in the digests is warm; zero
	// if none is.
	coldUntil time.Time
}

// Table holds the replicas of all services.
type Table struct {
	clock peridotusher.Clock

	mu          sync.Mutex
	records     map[string]*record
	evacuations map[string]*evacuation // by zone
	loads       map[string]*peerLoad
	unreachable chan struct{}
	// epoch is the store's, base its first revision that is known.
	epoch, base int64

	view        atomic.Pointer[view]
	usesReports atomic.Bool
	coldFor     atomic.Pointer[func(service string) time.Duration]
	complete    atomic.Bool // whether the whole list was received
}

// NewTable returns an empty Table.
func NewTable(clock peridotusher.Clock) *Table {
	t := &Table{clock: clock, records: make(map[string]*record), evacuations: make(map[string]*evacuation), loads: make(map[string]*peerLoad), unreachable: make(chan struct{}, 1)}
	t.view.Store(&view{})
	return t
}

// Ready returns the replicas of a service that may get new requests: not those of
// evacuated zones. The slice must not be changed.
func (t *Table) Ready(service string) []*Replica { return t.view.Load().ready[service] }

// Digest returns a hash of all ready replicas, also those of evacuated zones; equal tables
// have equal digests.
func (t *Table) Digest() uint32 { return uint32(t.view.Load().digest) }

// Find returns the replica with the hash; see HashOf.
func (t *Table) Find(hash uint32) (*Replica, bool) {
	r, ok := t.view.Load().all[hash]
	return r, ok
}

// Source returns the replica with the hash if cached parts can be fetched from it, also one
// that is gone for less than sourceFor.
func (t *Table) Source(hash uint32) (*Replica, bool) {
	v := t.view.Load()
	r, ok := v.all[hash]
	if !ok {
		r, ok = v.gone[hash]
	}
	if !ok || !r.isSource(t.clock.Now()) {
		return nil, false
	}
	return r, true
}

// Current returns the table's present Replica for one that was chosen earlier, or r itself
// if it is gone. ok is false if the replica has restarted since.
func (t *Table) Current(r *Replica) (current *Replica, ok bool) {
	current, ok = t.view.Load().ids[r.ID()]
	if !ok {
		return r, true
	}
	return current, current.entry.sameStart(&r.entry)
}

// Replicas calls f for each replica that is not gone.
func (t *Table) Replicas(f func(*Replica)) {
	for _, r := range t.view.Load().all {
		f(r)
	}
}

// Count returns the number of replicas that are not gone.
func (t *Table) Count() int { return len(t.view.Load().all) }

// Offer merges entries and returns those that changed any routing decision or have to be
// published for their cold time.
func (t *Table) Offer(entries []Entry) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var changed []Entry
	for _, e := range entries {
		if t.offer(now, e) {
			changed = append(changed, t.records[e.ID].current(now))
		}
	}
	if len(changed) > 0 {
		t.publish()
	}
	return changed
}

// Snapshot merges the store's whole list at a position. Replicas that it lacks are gone,
// unless lapsed is set: their entries may have expired in an outage of the store, and
// replicas that are alive will write them again. It returns the changed entries as Offer does.
func (t *Table) Snapshot(at peridotusher.Position, entries []Entry, lapsed bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var changed []Entry
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		if t.offer(now, e) {
			changed = append(changed, t.records[e.ID].current(now))
		}
		// An earlier start of a replica that is known to have started again may be in
		// a copy of the store.
		listed[e.ID] = e.StartedAt == 0 || e.StartedAt >= t.records[e.ID].entry.StartedAt
	}
	for id, rec := range t.records {
		if lapsed {
			break
		}
		if listed[id] || rec.entry.Gone || rec.entry.at().After(at) {
			continue
		}
		gone := rec.entry
		gone.Gone = true
		gone.Epoch, gone.Revision = at.Epoch, at.Revision
		if t.offer(now, gone) {
			changed = append(changed, gone)
		}
	}
	t.MarkComplete()
	if len(changed) > 0 {
		t.publish()
	}
	return changed
}

// SetEpoch sets the epoch of the store, which may have been set up again from a copy, and
// the first of its revisions that any router saw: entries with later revisions were written
// in that epoch.
func (t *Table) SetEpoch(epoch, base int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch, t.base = epoch, base
}

// written reports whether the entry is known to be written in the store's present epoch.
func (t *Table) written(e *Entry) bool { return e.Epoch == t.epoch && e.Revision > t.base }

// MarkLeaving records that a replica announced in an answer that it leaves. It returns the
// entry if that was not known before.
func (t *Table) MarkLeaving(r *Replica) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec, ok := t.records[r.ID()]
	if !ok || rec.replica.hash != r.hash || rec.entry.Announced {
		return nil
	}
	known := rec.entry.Leaving || rec.entry.Gone
	rec.entry.Announced, rec.entry.Leaving = true, true
	if known {
		return nil
	}
	now := t.clock.Now()
	rec.changed, rec.published = now, 0
	rec.replica.setLeaving(now, true)
	t.publish()
	return []Entry{rec.current(now)}
}

// offer merges one entry and reports whether it changed what may be chosen.
func (t *Table) offer(now time.Time, e Entry) bool {
	rec, known := t.records[e.ID]
	if !known {
		rec = t.first(now, e)
		t.records[e.ID] = rec
		s := sameStart
		if t.Complete() {
			s = inferredStart
		}
		t.offerCold(now, rec, e, s)
		return !e.Gone
	}
	next, counts := merge(rec.entry, e, t.written)
	same := rec.entry.sameUse(&next)
	s := startOf(&rec.entry, &next)
	again := next.at() == e.at() && rec.entry.at() == e.at()
	next.ReportsCold = next.ReportsCold || again && e.ReportsCold
	rec.entry = next
	if !same && !next.Gone {
		rec.replica = rec.replica.next(next, s != sameStart)
	}
	if !counts && !again {
		e.ReportsCold = false
	}
	publish := t.offerCold(now, rec, e, s)
	if same && !publish {
		return false
	}
	rec.changed, rec.published = now, 0
	rec.replica.setLeaving(now, !next.Usable())
	return true
}

// first returns the record of a replica that was unknown. The record of a gone one is kept,
// since an old copy of the store may hold its entry, but is not published as a change.
func (t *Table) first(now time.Time, e Entry) *record {
	rec := &record{entry: e, replica: newReplica(e), changed: now}
	rec.replica.setLeaving(now, !e.Usable())
	if e.Gone {
		rec.changed = now.Add(-tombstoneFor / 2)
	}
	return rec
}

// publish builds the view from the records.
func (t *Table) publish() {
	v := &view{ready: make(map[string][]*Replica), withheld: make(map[string][]*Replica), zones: t.evacuatedZones(), all: make(map[uint32]*Replica), ids: make(map[string]*Replica), gone: make(map[uint32]*Replica)}
	now := t.clock.Now()
	for _, rec := range t.records {
		if rec.entry.Gone {
			if rec.replica.isSource(now) {
				v.gone[rec.replica.hash] = rec.replica
			}
			continue
		}
		v.all[rec.replica.hash], v.ids[rec.entry.ID] = rec.replica, rec.replica
		if rec.entry.Usable() {
			list := v.ready
			if v.zones[rec.entry.Zone] {
				list = v.withheld
			}
			list[rec.entry.Service] = append(list[rec.entry.Service], rec.replica)
			digest := rec.entry.digest(t.reportsCold(now, rec, v))
			v.digest ^= digest
			v.parts[partOf(rec.entry.ID)] ^= digest
		}
	}
	for _, list := range v.ready {
		sort.Slice(list, func(i, j int) bool { return list[i].entry.ID < list[j].entry.ID })
	}
	t.view.Store(v)
}
