package peridotusher

import (
	"slices"
	"time"
)

const (
	// reportSlack is how far an engine's count may run before or behind its owner's.
	reportSlack = 150 * time.Millisecond
	// historyTime is how long an engine's own work is remembered for late reports.
	historyTime = 10 * time.Second
	// tombstones is the number of ended permits that an engine's owner remembers.
	tombstones = 256
)

// engineLedger holds the permits of one owned engine.
type engineLedger struct {
	model      string
	mine       bool      // whether this router still owns the engine
	work       int       // of the permits
	foreign    int       // work at the engine that no permit explains
	reported   int       // work of the last report
	sampled    time.Time // when it was taken, zero before the first
	permits    map[PermitID]heldPermit
	history    []workAt
	returned   []PermitID
	floor      int // the former owner's count, until floorUntil
	floorUntil time.Time
	heldUntil  time.Time // no permit before
}

// heldPermit is one permit that has not been returned.
type heldPermit struct {
	work    int
	ingress RouterID
	granted time.Time
	expires time.Time
}

// workAt is the work of the permits from a time on.
type workAt struct {
	at   time.Time
	work int
}

func newEngineLedger(model string) *engineLedger {
	return &engineLedger{model: model, permits: map[PermitID]heldPermit{}}
}

func (e *engineLedger) load() int { return e.work + e.foreign }

// low returns the least work that the engine may have: permits of an ingress
// that died are out until they expire, though their work has ended. Totals are
// made of it, so that they do not raise the limit.
func (e *engineLedger) low() int {
	if e.sampled.IsZero() {
		return e.work
	}
	newer := 0
	for _, p := range e.permits {
		if p.granted.After(e.sampled.Add(-reportSlack)) {
			newer += p.work
		}
	}
	return min(e.work, e.reported+newer)
}

func (e *engineLedger) add(now time.Time, id PermitID, p heldPermit) {
	e.permits[id] = p
	e.work += p.work
	e.remember(now)
}

func (e *engineLedger) remove(now time.Time, id PermitID) bool {
	p, ok := e.permits[id]
	if !ok {
		return false
	}
	e.work -= p.work
	delete(e.permits, id)
	e.remember(now)
	return true
}

// expire removes the permits whose ingress fell silent.
func (e *engineLedger) expire(now time.Time) {
	for id, p := range e.permits {
		if now.After(p.expires) {
			e.remove(now, id)
		}
	}
}

// tombstone remembers a permit that was returned, so that a report that was
// sent before its return does not bring it back.
func (e *engineLedger) tombstone(id PermitID) {
	e.returned = append(e.returned, id)
	if len(e.returned) > tombstones {
		e.returned = e.returned[1:]
	}
}

func (e *engineLedger) isReturned(id PermitID) bool { return slices.Contains(e.returned, id) }

// remember adds the present work to the history.
func (e *engineLedger) remember(now time.Time) {
	e.history = append(e.history, workAt{now, e.work})
	old := now.Add(-historyTime)
	for len(e.history) > 1 && e.history[1].at.Before(old) {
		e.history = e.history[1:]
	}
}

// correct counts the work of a report beyond the most that this router's
// permits explain around the time of the sample.
func (e *engineLedger) correct(report EngineReport) {
	e.reported = report.Work
	e.sampled = report.Sampled
	e.foreign = max(0, report.Work-e.peakAround(report.Sampled))
}

// peakAround returns the highest work of the permits around the time.
func (e *engineLedger) peakAround(at time.Time) int {
	from, to := at.Add(-reportSlack), at.Add(reportSlack)
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
