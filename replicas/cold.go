package replicas

import (
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// MaxCold bounds the time for which a replica is cold, that is, needs a limited request
	// rate after its start. A longer reported time is malformed.
	MaxCold = 10 * time.Minute
	// staleEntryWindow is how long after a failed connection an entry may still arrive that
	// was written before the failure: lists are read every half second and forwarded within
	// a second.
	staleEntryWindow = 2 * time.Second
	// coldTolerance is the largest change of a cold time that is not published to other
	// routers. The time is counted from when an entry was read, which varies by about the
	// interval at which lists are read.
	coldTolerance = time.Second
)

// cold records when a replica becomes warm, as its entry reports and as this router assumes.
// An entry that was written after the event on which the assumption is based overrides it.
type cold struct {
	reported   time.Time             // when it becomes warm according to the entry
	reportedAt peridotusher.Position // of that entry
	// assumed is when the replica is assumed to become warm. An entry with a position after
	// assumedAt overrides it.
	assumed   time.Time
	assumedAt peridotusher.Position
	failedAt  time.Time // first failed connection since the last successful one
}

// until returns when the replica becomes warm.
func (c *cold) until() time.Time {
	if c.reportedAt.After(c.assumedAt) || c.reported.After(c.assumed) {
		return c.reported
	}
	return c.assumed
}

// mergeReported merges the time until which an entry reports the replica as cold. For an
// entry that is read several times, the earliest such time applies.
func (c *cold) mergeReported(now, until time.Time, at peridotusher.Position) {
	switch {
	case at == c.reportedAt && !c.reported.IsZero():
		if until.Before(c.reported) {
			c.reported = until
		}
	case at.After(c.reportedAt):
		c.reported, c.reportedAt = until, at
	}
	if c.recentlyFailed(now) && c.reportedAt.After(c.assumedAt) {
		c.assumedAt = c.reportedAt // the entry may have been written before the failure
	}
}

func (c *cold) recentlyFailed(now time.Time) bool {
	return !c.failedAt.IsZero() && now.Sub(c.failedAt) < staleEntryWindow
}

// assume assumes that the replica is cold until a time, unless an entry after a position
// reports otherwise.
func (c *cold) assume(until time.Time, since peridotusher.Position) {
	c.dropAssumption()
	if until.After(c.assumed) {
		c.assumed = until
	}
	if since.After(c.assumedAt) {
		c.assumedAt = since
	}
}

// dropAssumption clears an assumption that a later entry has overridden.
func (c *cold) dropAssumption() {
	if c.reportedAt.After(c.assumedAt) {
		c.assumed = time.Time{}
	}
}

// recordAnswer records when the replica becomes warm as it reported in an answer.
func (c *cold) recordAnswer(until time.Time) {
	if until.Before(c.reported) {
		c.reported = until
	}
	c.assumed = until
	if c.reportedAt.After(c.assumedAt) {
		c.assumedAt = c.reportedAt
	}
}

// recordConnectionFailure records that a connection failed: entries written before the
// failure do not override the assumption that is based on it.
func (c *cold) recordConnectionFailure(now time.Time) {
	c.dropAssumption()
	c.failedAt = now
	if c.reportedAt.After(c.assumedAt) {
		c.assumedAt = c.reportedAt
	}
}

// mustPublishCold reports whether a change of the time at which a replica becomes warm has to
// be published to other routers, which count the remaining time down themselves.
func mustPublishCold(now, before, after time.Time) bool {
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

// ColdRemaining returns how long the replica is still cold; 0 if it is warm.
func (r *Replica) ColdRemaining(now time.Time) time.Duration {
	if until := r.coldUntil.Load(); until != nil {
		return max(until.Sub(now), 0)
	}
	return 0
}

// publishCold updates the copy of the cold state that is read without the lock; r.mu is held.
func (r *Replica) publishCold() {
	until := r.cold.until()
	r.coldUntil.Store(&until)
}

// updateCold changes the cold state and returns the time at which the replica becomes warm,
// before and after the change.
func (r *Replica) updateCold(change func(c *cold)) (before, after time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.cold.until()
	change(&r.cold)
	r.publishCold()
	return before, r.cold.until()
}

// ReportCold records for how much longer the replica is cold, as it reported in an answer. A
// later entry overrides it.
func (r *Replica) ReportCold(now time.Time, d time.Duration) {
	until := now.Add(clampCold(d))
	r.updateCold(func(c *cold) { c.recordAnswer(until) })
}

// clampCold limits a reported cold time to the range from 0 to MaxCold.
func clampCold(d time.Duration) time.Duration { return min(max(d, 0), MaxCold) }

// MarkMalformedCold records that an answer reported a malformed cold time, and reports
// whether this is the first one.
func (r *Replica) MarkMalformedCold() bool { return !r.malformedCold.Swap(true) }

func (r *Replica) assumeCold(until time.Time, since peridotusher.Position) {
	r.updateCold(func(c *cold) { c.assume(until, since) })
}

// reportedCold returns for how much longer the replica is cold according to its entry, and
// whether that also applies to later entries that do not report a cold time. It does not if
// an evacuation of the replica's zone has ended since: other routers know of that too.
func (r *Replica) reportedCold(now time.Time) (remaining time.Duration, carriesOver bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining = max(r.cold.reported.Sub(now), 0)
	return remaining, remaining > 0 && !r.cold.assumedAt.After(r.cold.reportedAt)
}

// SetColdDuration sets the function that returns how long a replica of a service is cold after
// its start; 0 for a service whose replicas are never cold.
func (t *Table) SetColdDuration(durationOf func(service string) time.Duration) {
	t.coldDurationOf.Store(&durationOf)
}

// RefreshDigests recomputes the digests after the function set by SetColdDuration changed its results.
func (t *Table) RefreshDigests() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuildView()
}

// coldDuration returns how long a replica of the service is cold after its start.
func (t *Table) coldDuration(service string) time.Duration {
	if durationOf := t.coldDurationOf.Load(); durationOf != nil {
		return min(max((*durationOf)(service), 0), MaxCold)
	}
	return 0
}

// MarkComplete records that the table has received a complete list: replicas that appear
// later are assumed to have just started.
func (t *Table) MarkComplete() { t.complete.Store(true) }

// Complete reports whether the table has received a complete list.
func (t *Table) Complete() bool { return t.complete.Load() }

// assumeZoneCold assumes that the replicas of a zone whose evacuation ended are cold, until
// entries that were written after a position report otherwise; t.mu is held.
func (t *Table) assumeZoneCold(now time.Time, zone string, since peridotusher.Position) {
	for _, rec := range t.records {
		if rec.entry.Removed || rec.entry.Zone != zone {
			continue
		}
		if d := t.coldDuration(rec.entry.Service); d > 0 {
			rec.replica.assumeCold(now.Add(d), since)
		}
	}
}

// startKind is whether an entry shows that its replica has restarted.
type startKind int

const (
	sameStart startKind = iota
	// inferredStart means that the replica was unknown or removed before, possibly to this
	// router only.
	inferredStart
	// reportedStart means that the entry has another start time than the known entry.
	reportedStart
)

// classifyStart returns whether the change from a known entry to the next one shows a restart.
func classifyStart(known, next *Entry) startKind {
	switch {
	case next.StartedAt != 0 && next.StartedAt != known.StartedAt:
		return reportedStart
	case !known.sameStart(next) || next.StartedAt == 0 && known.Removed && !next.Removed:
		return inferredStart
	}
	return sameStart
}

// mergeCold merges the cold state that an entry for the record reports. It returns whether
// the change has to be published to other routers: never for a service whose replicas are
// never cold, and not for an inferred start, which only this router assumes.
func (t *Table) mergeCold(now time.Time, rec *record, e Entry, s startKind) bool {
	if rec.entry.Removed {
		return false
	}
	d := t.coldDuration(rec.entry.Service)
	if s == reportedStart && !e.ReportsCold && d > 0 {
		e.ColdRemaining, e.ReportsCold = d, true
		rec.entry.ReportsCold = true // other routers may not have seen the start
	}
	at := rec.entry.at()
	switch {
	case e.ReportsCold:
		until := now.Add(clampCold(e.ColdRemaining))
		before, after := rec.replica.updateCold(func(c *cold) { c.mergeReported(now, until, at) })
		return d > 0 && mustPublishCold(now, before, after)
	case s == inferredStart && d > 0:
		rec.replica.assumeCold(now.Add(d), at)
	}
	return false
}

// coldInDigest reports whether the digests of a view count the replica as cold, which depends
// on its own report only. Digests do not include the entry's revision: an entry that is
// written again with the remaining time is not published, so routers have different
// revisions of it.
func (t *Table) coldInDigest(now time.Time, rec *record, v *view) bool {
	remaining, _ := rec.replica.reportedCold(now)
	if remaining == 0 || t.coldDuration(rec.entry.Service) == 0 {
		return false
	}
	if until := now.Add(remaining); v.nextWarmAt.IsZero() || until.Before(v.nextWarmAt) {
		v.nextWarmAt = until
	}
	return true
}

// entryAt returns the record's entry with the times that depend on now.
func (rec *record) entryAt(now time.Time) Entry {
	e := rec.entry
	remaining, carriesOver := rec.replica.reportedCold(now)
	e.ReportsCold = e.ReportsCold || carriesOver // a later entry may not report it
	if e.ReportsCold {
		e.ColdRemaining = remaining
	}
	e.SinceReady = rec.maxLeavingTime(now)
	return e
}
