package replicas

import (
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// MaxCold bounds the time for which a replica is cold: a longer one is malformed.
	MaxCold = 10 * time.Minute
	// failureSettle is how long after a failed connection an entry may arrive that was
	// written before it: lists are read each half second and forwarded within a second.
	failureSettle = 2 * time.Second
	// coldTolerance is the change of a cold time that is not published to other routers.
	// The time is counted from when an entry was read, which varies by about the time
	// between two lists.
	coldTolerance = time.Second
)

// cold is until when a replica is cold, by its entry and by assumption. The entry counts
// alone if it was written after what the assumption follows from.
type cold struct {
	reported time.Time             // by the entry
	at       peridotusher.Position // of that entry
	// assumed is until when the replica is assumed to be cold. An entry after the position
	// since overrides that.
	assumed time.Time
	since   peridotusher.Position
	failed  time.Time // when a connection failed first since the last one that succeeded
}

// until returns until when the replica is cold.
func (c *cold) until() time.Time {
	if c.at.After(c.since) || c.reported.After(c.assumed) {
		return c.reported
	}
	return c.assumed
}

// report merges the cold time of an entry. An entry that is read again counts from the first
// time.
func (c *cold) report(now, until time.Time, at peridotusher.Position) {
	switch {
	case at == c.at && !c.reported.IsZero():
		if until.Before(c.reported) {
			c.reported = until
		}
	case at.After(c.at):
		c.reported, c.at = until, at
	}
	if c.recentlyFailed(now) && c.at.After(c.since) {
		c.since = c.at // it may have been written before the failure
	}
}

func (c *cold) recentlyFailed(now time.Time) bool {
	return !c.failed.IsZero() && now.Sub(c.failed) < failureSettle
}

// assume assumes that the replica is cold until an entry after a position reports otherwise.
func (c *cold) assume(until time.Time, since peridotusher.Position) {
	c.dropAssumption()
	if until.After(c.assumed) {
		c.assumed = until
	}
	if since.After(c.since) {
		c.since = since
	}
}

// dropAssumption clears an assumption that a later entry has overridden.
func (c *cold) dropAssumption() {
	if c.at.After(c.since) {
		c.assumed = time.Time{}
	}
}

// answer records until when the replica is cold as it reported in an answer.
func (c *cold) answer(until time.Time) {
	if until.Before(c.reported) {
		c.reported = until
	}
	c.assumed = until
	if c.at.After(c.since) {
		c.since = c.at
	}
}

// connectionFailed records that a connection failed: entries written before it do not
// override the assumption that follows from it.
func (c *cold) connectionFailed(now time.Time) {
	c.dropAssumption()
	c.failed = now
	if c.at.After(c.since) {
		c.since = c.at
	}
}

// coldChanged reports whether a change of the time until which a replica is cold has to be
// published to other routers. They count the time down themselves.
func coldChanged(now, before, after time.Time) bool {
	if !before.After(now.Add(-coldTolerance)) {
		return after.After(now)
	}
	change := latest(after, now).Sub(latest(before, now))
	return change.Abs() > coldTolerance
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ColdFor returns how long the replica is still cold; 0 if it is warm.
func (r *Replica) ColdFor(now time.Time) time.Duration {
	if until := r.coldUntil.Load(); until != nil {
		return max(until.Sub(now), 0)
	}
	return 0
}

// publishCold updates the copy of the cold state for readers without the lock; r.mu is held.
func (r *Replica) publishCold() {
	until := r.cold.until()
	r.coldUntil.Store(&until)
}

// changeCold changes the cold state and returns until when the replica was cold before and
// is after.
func (r *Replica) changeCold(change func(c *cold)) (before, after time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.cold.until()
	change(&r.cold)
	r.publishCold()
	return before, r.cold.until()
}

// ReportCold records how long the replica is still cold as it reported in an answer. A later
// entry overrides it.
func (r *Replica) ReportCold(now time.Time, d time.Duration) {
	until := now.Add(clampCold(d))
	r.changeCold(func(c *cold) { c.answer(until) })
}

// clampCold bounds a cold time that was reported.
func clampCold(d time.Duration) time.Duration { return min(max(d, 0), MaxCold) }

// FirstMalformedCold records that an answer reported a malformed cold time, and reports
// whether it is the first one.
func (r *Replica) FirstMalformedCold() bool { return !r.malformedCold.Swap(true) }

func (r *Replica) assumeCold(until time.Time, since peridotusher.Position) {
	r.changeCold(func(c *cold) { c.assume(until, since) })
}

// reportedCold returns how long the replica is still cold by its entry, and whether that
// holds for later entries too: it does not if an evacuation of its zone has ended since,
// which other routers know.
func (r *Replica) reportedCold(now time.Time) (left time.Duration, holds bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left = max(r.cold.reported.Sub(now), 0)
	return left, left > 0 && !r.cold.since.After(r.cold.at)
}

// SetColdFor sets the function that returns how long a replica of a service is cold after
// its start; 0 for a service whose replicas are never cold.
func (t *Table) SetColdFor(coldFor func(service string) time.Duration) { t.coldFor.Store(&coldFor) }

// Refresh recomputes the digests after a change of what the function of SetColdFor returns.
func (t *Table) Refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish()
}

// coldTime returns how long a replica of the service is cold after its start.
func (t *Table) coldTime(service string) time.Duration {
	if coldFor := t.coldFor.Load(); coldFor != nil {
		return min(max((*coldFor)(service), 0), MaxCold)
	}
	return 0
}

// MarkComplete records that the table has the whole list: replicas that appear later are
// assumed to be newly started.
func (t *Table) MarkComplete() { t.complete.Store(true) }

// Complete reports whether the table has had the whole list.
func (t *Table) Complete() bool { return t.complete.Load() }

// assumeZoneCold assumes that the replicas of a zone whose evacuation ended are cold, until
// entries that were written after a position report otherwise; t.mu is held.
func (t *Table) assumeZoneCold(now time.Time, zone string, since peridotusher.Position) {
	for _, rec := range t.records {
		if rec.entry.Gone || rec.entry.Zone != zone {
			continue
		}
		if d := t.coldTime(rec.entry.Service); d > 0 {
			rec.replica.assumeCold(now.Add(d), since)
		}
	}
}

// start is whether an entry shows a new start of its replica.
type start int

const (
	sameStart start = iota
	// inferredStart: the replica was unknown or gone before, which may be so for this router
	// only.
	inferredStart
	// reportedStart: the entry has another start time than an earlier one.
	reportedStart
)

// startOf returns whether a change from a known entry to the next one shows a new start.
func startOf(known, next *Entry) start {
	switch {
	case next.StartedAt != 0 && next.StartedAt != known.StartedAt:
		return reportedStart
	case !known.sameStart(next) || next.StartedAt == 0 && known.Gone && !next.Gone:
		return inferredStart
	}
	return sameStart
}

// offerCold merges the cold state that an entry of the record reports. It returns whether the
// change has to be published to other routers: never for a service whose replicas are never
// cold, and not for an inferred start, which is an assumption of this router.
func (t *Table) offerCold(now time.Time, rec *record, e Entry, s start) bool {
	if rec.entry.Gone {
		return false
	}
	d := t.coldTime(rec.entry.Service)
	if s == reportedStart && !e.ReportsCold && d > 0 {
		e.Cold, e.ReportsCold = d, true
		rec.entry.ReportsCold = true // other routers may not have seen the start
	}
	at := rec.entry.at()
	switch {
	case e.ReportsCold:
		until := now.Add(clampCold(e.Cold))
		before, after := rec.replica.changeCold(func(c *cold) { c.report(now, until, at) })
		return d > 0 && coldChanged(now, before, after)
	case s == inferredStart && d > 0:
		rec.replica.assumeCold(now.Add(d), at)
	}
	return false
}

// reportsCold reports whether the digests of a view count the replica as cold, which is by
// its own report. They leave out the entry's revision: an entry that is written again with
// the remaining time is not published, so that routers know it at different revisions.
func (t *Table) reportsCold(now time.Time, rec *record, v *view) bool {
	left, _ := rec.replica.reportedCold(now)
	if left == 0 || t.coldTime(rec.entry.Service) == 0 {
		return false
	}
	if until := now.Add(left); v.coldUntil.IsZero() || until.Before(v.coldUntil) {
		v.coldUntil = until
	}
	return true
}

// current returns the record's entry with the remaining cold time.
func (rec *record) current(now time.Time) Entry {
	e := rec.entry
	left, holds := rec.replica.reportedCold(now)
	e.ReportsCold = e.ReportsCold || holds // a later entry need not report it
	if e.ReportsCold {
		e.Cold = left
	}
	return e
}
