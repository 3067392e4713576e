package replicas

import "time"

// minReadyTimeGain is how much later than the known one a time that another router reports has to be
// to replace it. Smaller differences come from delays of messages.
const minReadyTimeGain = 250 * time.Millisecond

// RecordReady records that at a time the store held all replicas as ready that the table has as ready
// now. A complete list that was merged proves this for the time at which reading it began.
func (t *Table) RecordReady(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.readyAt) {
		t.readyAt = at
	}
}

// SinceReady returns how long ago the store is known to have held a replica as ready: if it is leaving
// or was removed since, that was not longer ago. ok is false if that is unknown, or if the replica has
// restarted.
func (t *Table) SinceReady(r *Replica) (d time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	rec, known := t.records[r.ID()]
	if !known || !rec.entry.sameStart(&r.entry) {
		return 0, false
	}
	if !rec.entry.Usable() {
		d = rec.sinceReady(now)
		return d, d > 0
	}
	if t.readyAt.IsZero() {
		return 0, false
	}
	return now.Sub(t.readyAt), true
}

// sinceReady returns for how long at most a replica that is not usable has been so; 0 if that is
// unknown. It is never shorter than the time for which this has been known.
func (rec *record) sinceReady(now time.Time) time.Duration {
	if rec.entry.Usable() || rec.readyAt.IsZero() {
		return 0
	}
	return max(now.Sub(rec.readyAt), rec.replica.LeavingFor(now), 1)
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
