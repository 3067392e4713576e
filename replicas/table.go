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
	// sourceGracePeriod is how long cached parts (shared prompt prefixes) can still be
	// fetched from a replica after it began to leave or was removed.
	sourceGracePeriod = 3 * time.Second
	// tombstoneTTL is how long the record of a removed replica is kept, so that an older
	// entry does not add the replica again.
	tombstoneTTL = 10 * time.Minute
	// bucketCount is the number of buckets into which the table is divided. Each bucket has
	// a digest, so that routers exchange only the buckets that differ.
	bucketCount = 64
)

// bucketOf returns the bucket of a replica ID.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// record is the table's state of one replica ID.
type record struct {
	entry     Entry
	replica   *Replica
	changedAt time.Time
	// readyAt is a time at which the store still held the replica as ready, if the entry is not
	// usable; zero if unknown.
	readyAt time.Time
	// publishCount is how often the entry was returned for publishing since it last changed.
	publishCount int
}

// view is the immutable snapshot of the table that requests read without a lock.
type view struct {
	ready map[string][]*Replica
	// withheld are the ready replicas of evacuated zones, which get no requests.
	withheld       map[string][]*Replica
	evacuatedZones map[string]bool
	byHash         map[uint32]*Replica // keyed by HashOf
	byID           map[string]*Replica // keyed by replica ID
	removed        map[uint32]*Replica // within sourceGracePeriod, by hash
	digest         uint64
	bucketDigests  [bucketCount]uint64
	// nextWarmAt is when the first of the replicas that the digests count as cold becomes
	// warm; zero if there is none.
	nextWarmAt time.Time
}

// Table holds the replicas of all services.
type Table struct {
	clock peridotusher.Clock

	mu                sync.Mutex
	records           map[string]*record
	evacuations       map[string]*evacuationRecord // by zone
	peerCounts        map[string]*peerCounts       // by router
	unreachableSignal chan struct{}
	// epoch is the store's present epoch, epochBase its first known revision.
	epoch, epochBase int64
	// readyAt is a time at which the store held all replicas as ready whose entries are usable; zero
	// if unknown.
	readyAt time.Time

	view           atomic.Pointer[view]
	usesReports    atomic.Bool
	coldDurationOf atomic.Pointer[func(service string) time.Duration]
	complete       atomic.Bool // whether a complete list was received
}

// NewTable returns an empty Table.
func NewTable(clock peridotusher.Clock) *Table {
	t := &Table{
		clock: clock, records: make(map[string]*record), evacuations: make(map[string]*evacuationRecord),
		peerCounts: make(map[string]*peerCounts), unreachableSignal: make(chan struct{}, 1),
	}
	t.view.Store(&view{})
	return t
}

// Ready returns the replicas of a service that may get new requests, without those in
// evacuated zones. The slice must not be changed.
func (t *Table) Ready(service string) []*Replica { return t.view.Load().ready[service] }

// Digest returns a hash of all ready replicas, including those in evacuated zones. Equal
// tables have equal digests.
func (t *Table) Digest() uint32 { return uint32(t.view.Load().digest) }

// Find returns the replica with a hash; see HashOf.
func (t *Table) Find(hash uint32) (*Replica, bool) {
	r, ok := t.view.Load().byHash[hash]
	return r, ok
}

// Source returns the replica with a hash if cached parts can be fetched from it. This
// includes replicas that were removed less than sourceGracePeriod ago.
func (t *Table) Source(hash uint32) (*Replica, bool) {
	v := t.view.Load()
	r, ok := v.byHash[hash]
	if !ok {
		r, ok = v.removed[hash]
	}
	if !ok || !r.isSource(t.clock.Now()) {
		return nil, false
	}
	return r, true
}

// Current returns the table's present Replica for one that was chosen earlier, or r itself
// if the replica was removed. ok is false if the replica has restarted since.
func (t *Table) Current(r *Replica) (current *Replica, ok bool) {
	current, ok = t.view.Load().byID[r.ID()]
	if !ok {
		return r, true
	}
	return current, current.entry.sameStart(&r.entry)
}

// ForEach calls f for each replica that was not removed.
func (t *Table) ForEach(f func(*Replica)) {
	for _, r := range t.view.Load().byHash {
		f(r)
	}
}

// Count returns the number of replicas that were not removed.
func (t *Table) Count() int { return len(t.view.Load().byHash) }

// Merge merges entries and returns those that have to be published to other routers: those
// that changed a routing decision or the time for which a replica is cold.
func (t *Table) Merge(entries []Entry) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var changed []Entry
	for _, e := range entries {
		if t.mergeEntry(now, e) {
			changed = append(changed, t.records[e.ID].entryAt(now))
		}
	}
	if len(changed) > 0 {
		t.rebuildView()
	}
	return changed
}

// MergeSnapshot merges the complete list of the store at a position. Replicas that are not in the
// list are removed, unless lapsed is set: then entries may have expired during an outage of
// the store, and replicas that are alive will write theirs again. It returns the entries
// that have to be published to other routers.
func (t *Table) MergeSnapshot(at peridotusher.Position, entries []Entry, lapsed bool) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var changed []Entry
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		if t.mergeEntry(now, e) {
			changed = append(changed, t.records[e.ID].entryAt(now))
		}
		// A store that was restored from a backup may list an earlier start of a replica
		// that has restarted since.
		listed[e.ID] = e.StartedAt == 0 || e.StartedAt >= t.records[e.ID].entry.StartedAt
	}
	for id, rec := range t.records {
		if lapsed {
			break
		}
		if listed[id] || rec.entry.Removed || rec.entry.at().After(at) {
			continue
		}
		removed := rec.entry
		removed.Removed = true
		removed.Epoch, removed.Revision = at.Epoch, at.Revision
		if t.mergeEntry(now, removed) {
			removed.SinceReady = rec.maxLeavingTime(now)
			changed = append(changed, removed)
		}
	}
	t.MarkComplete()
	if len(changed) > 0 {
		t.rebuildView()
	}
	return changed
}

// SetEpoch sets the store's present epoch, which increases when the store is restored from a
// backup, and the first revision that any router saw in that epoch: entries with later
// revisions were written in it.
func (t *Table) SetEpoch(epoch, base int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch, t.epochBase = epoch, base
}

// writtenInEpoch reports whether the entry is known to have been written in the store's
// present epoch.
func (t *Table) writtenInEpoch(e *Entry) bool { return e.Epoch == t.epoch && e.Revision > t.epochBase }

// MarkLeaving records that a replica announced in an answer that it is leaving. It returns
// the entry to publish if that was not known before.
func (t *Table) MarkLeaving(r *Replica) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec, ok := t.records[r.ID()]
	if !ok || rec.replica.hash != r.hash || rec.entry.LeavingAnnounced {
		return nil
	}
	known := rec.entry.Leaving || rec.entry.Removed
	rec.entry.LeavingAnnounced, rec.entry.Leaving = true, true
	if known {
		return nil
	}
	now := t.clock.Now()
	rec.changedAt, rec.publishCount = now, 0
	rec.readyAt = t.readyAt
	rec.replica.setLeaving(now, true)
	t.rebuildView()
	return []Entry{rec.entryAt(now)}
}

// mergeEntry merges one entry and reports whether the change has to be published.
func (t *Table) mergeEntry(now time.Time, e Entry) bool {
	rec, known := t.records[e.ID]
	if !known {
		rec = t.newRecord(now, e)
		t.records[e.ID] = rec
		s := sameStart
		if t.Complete() {
			s = inferredStart
		}
		t.mergeCold(now, rec, e, s)
		return !e.Removed
	}
	next, applied := merge(rec.entry, e, t.writtenInEpoch)
	same := rec.entry.equivalentForRouting(&next)
	s := classifyStart(&rec.entry, &next)
	t.mergeReadyTime(now, rec, &e, &next)
	next.SinceReady = 0
	reread := next.at() == e.at() && rec.entry.at() == e.at()
	next.ReportsCold = next.ReportsCold || reread && e.ReportsCold
	rec.entry = next
	if !same && !next.Removed {
		rec.replica = rec.replica.withEntry(next, s != sameStart)
	}
	if !applied && !reread {
		e.ReportsCold = false
	}
	publish := t.mergeCold(now, rec, e, s)
	if same && !publish {
		return false
	}
	rec.changedAt, rec.publishCount = now, 0
	rec.replica.setLeaving(now, !next.Usable())
	return true
}

// newRecord returns the record of a replica that was unknown. If the replica is removed
// already, its record is kept, since a store restored from a backup may still list the
// replica, but it is not published as a change.
func (t *Table) newRecord(now time.Time, e Entry) *record {
	rec := &record{entry: e, replica: newReplica(e), changedAt: now}
	rec.replica.setLeaving(now, !e.Usable())
	rec.entry.SinceReady = 0
	if e.SinceReady > 0 {
		rec.readyAt = now.Add(-e.SinceReady)
	}
	if e.Removed {
		rec.changedAt = now.Add(-tombstoneTTL / 2)
	}
	return rec
}

// rebuildView builds the view from the records; t.mu is held.
func (t *Table) rebuildView() {
	v := &view{
		ready: make(map[string][]*Replica), withheld: make(map[string][]*Replica),
		evacuatedZones: t.activeEvacuations(), byHash: make(map[uint32]*Replica),
		byID: make(map[string]*Replica), removed: make(map[uint32]*Replica),
	}
	now := t.clock.Now()
	for _, rec := range t.records {
		if rec.entry.Removed {
			if rec.replica.isSource(now) {
				v.removed[rec.replica.hash] = rec.replica
			}
			continue
		}
		v.byHash[rec.replica.hash], v.byID[rec.entry.ID] = rec.replica, rec.replica
		if rec.entry.Usable() {
			list := v.ready
			if v.evacuatedZones[rec.entry.Zone] {
				list = v.withheld
			}
			list[rec.entry.Service] = append(list[rec.entry.Service], rec.replica)
			digest := rec.entry.digest(t.coldInDigest(now, rec, v))
			v.digest ^= digest
			v.bucketDigests[bucketOf(rec.entry.ID)] ^= digest
		}
	}
	for _, list := range v.ready {
		sort.Slice(list, func(i, j int) bool { return list[i].entry.ID < list[j].entry.ID })
	}
	t.view.Store(v)
	t.rescheduleProbes()
}
