package replicas

import "time"

// minReadyTimeGain is by how much a ready time told by another router must be later than the known one
// to replace it. Smaller differences may be delays of messages.
const minReadyTimeGain = 250 * time.Millisecond

// RecordAllReady records that at this time the store held as ready all replicas that are usable in the
// table. A complete list proves it for the time at which reading it began.
func (t *Table) RecordAllReady(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.readyAt) {
		t.readyAt = at
	}
}

// SinceReady returns the time since the store was last known to hold a replica as ready. If the replica
// is leaving or removed, it has been so for at most that long. ok is false if the time is unknown or the
// replica has restarted.
func (t *Table) SinceReady(r *Replica) (d time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	rec, known := t.records[r.ID()]
	if !known || !rec.entry.sameStart(&r.entry) {
		return 0, false
	}
	if !rec.entry.Usable() {
		d = rec.maxLeavingTime(now)
		return d, d > 0
	}
	if t.readyAt.IsZero() {
		return 0, false
	}
	return now.Sub(t.readyAt), true
}

// maxLeavingTime returns for how long at most a replica has been leaving or removed; 0 if it is neither or
// that is unknown. It is never shorter than the time for which this has been known.
func (rec *record) maxLeavingTime(now time.Time) time.Duration {
	if rec.entry.Usable() || rec.readyAt.IsZero() {
		return 0
	}
	return max(now.Sub(rec.readyAt), rec.replica.LeavingFor(now), 1) // at least 1 ns, since 0 means unknown
}

// mergeReadyTime updates a record's readyAt before its entry changes to next by merging e.
func (t *Table) mergeReadyTime(now time.Time, rec *record, e, next *Entry) {
	switch {
	case next.Usable(), !rec.entry.sameStart(next):
		rec.readyAt = time.Time{}
	case rec.entry.Usable():
		rec.readyAt = t.readyAt
	}
	if next.Usable() || e.SinceReady <= 0 || !e.sameStart(next) {
		return
	}
	at := now.Add(-e.SinceReady)
	if rec.readyAt.IsZero() || at.Sub(rec.readyAt) > minReadyTimeGain {
		rec.readyAt = at
	}
}
