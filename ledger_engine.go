package peridotusher

import (
	"slices"
	"time"
)

const (
	// maxReportSkew is how far an engine's count may be ahead of or behind its owner's.
	maxReportSkew = 150 * time.Millisecond
	// workHistoryAge is how long the work of an engine's permits is recorded, for late reports.
	workHistoryAge = 10 * time.Second
	// maxReleasedPermits is the number of released permits that an owner remembers for an engine.
	maxReleasedPermits = 256
)

// engineLedger holds the permits of one owned engine.
type engineLedger struct {
	model           string
	owned           bool      // whether this router still owns the engine
	work            int       // total of the permits
	unexplained     int       // work at the engine that no permit accounts for
	reported        int       // work of the last report
	reportedAt      time.Time // when that report was sampled, zero before the first
	permits         map[PermitID]permitRecord
	history         []workSample
	released        []PermitID
	formerWork      int // the former owner's count, minimum load until formerWorkUntil
	formerWorkUntil time.Time
	suspendedUntil  time.Time // no new permits before
	rate            requestRate
}

// permitRecord is one permit that has not been released.
type permitRecord struct {
	work    int
	ingress RouterID
	granted time.Time
	expires time.Time
}

// workSample is the total work of the permits from a time on.
type workSample struct {
	at   time.Time
	work int
}

func newEngineLedger(model string) *engineLedger {
	return &engineLedger{model: model, permits: map[PermitID]permitRecord{}}
}

func (e *engineLedger) load() int { return e.work + e.unexplained }

// minWork returns the minimum work that the engine may have: its last reported work
// and the permits granted since. Permits of a crashed ingress count until they
// expire, although their work has ended. Totals use the minimum, so that such permits
// do not raise the limit of other engines.
func (e *engineLedger) minWork() int {
	if e.reportedAt.IsZero() {
		return e.work
	}
	grantedSince := 0
	for _, p := range e.permits {
		if p.granted.After(e.reportedAt.Add(-maxReportSkew)) {
			grantedSince += p.work
		}
	}
	return min(e.work, e.reported+grantedSince)
}

func (e *engineLedger) add(now time.Time, id PermitID, p permitRecord) {
	e.permits[id] = p
	e.work += p.work
	e.recordWork(now)
}

func (e *engineLedger) remove(now time.Time, id PermitID) bool {
	p, ok := e.permits[id]
	if !ok {
		return false
	}
	e.work -= p.work
	delete(e.permits, id)
	e.recordWork(now)
	return true
}

// expire removes the permits that their ingress did not renew in time.
func (e *engineLedger) expire(now time.Time) {
	for id, p := range e.permits {
		if now.After(p.expires) {
			e.remove(now, id)
		}
	}
}

// recordReleased records a permit as released, so that a report that was sent before
// the release does not add it again.
func (e *engineLedger) recordReleased(id PermitID) {
	e.released = append(e.released, id)
	if len(e.released) > maxReleasedPermits {
		e.released = e.released[1:]
	}
}

func (e *engineLedger) wasReleased(id PermitID) bool { return slices.Contains(e.released, id) }

// recordWork adds the current work to the history.
func (e *engineLedger) recordWork(now time.Time) {
	e.history = append(e.history, workSample{now, e.work})
	cutoff := now.Add(-workHistoryAge)
	for len(e.history) > 1 && e.history[1].at.Before(cutoff) {
		e.history = e.history[1:]
	}
}

// applyReport counts the reported work that exceeds the highest work of this
// router's permits around the time of the sample.
func (e *engineLedger) applyReport(report EngineReport) {
	e.reported = report.Work
	e.reportedAt = report.Sampled
	e.unexplained = max(0, report.Work-e.peakAround(report.Sampled))
}

// peakAround returns the highest work of the permits within maxReportSkew of the time.
func (e *engineLedger) peakAround(at time.Time) int {
	from, to := at.Add(-maxReportSkew), at.Add(maxReportSkew)
	peak, before := 0, 0
	for _, h := range e.history {
		switch {
		case h.at.Before(from):
			before = h.work
		case !h.at.After(to):
			peak = max(peak, h.work)
		}
	}
	return max(peak, before)
}
