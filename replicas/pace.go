package replicas

import (
	"math"
	"time"
)

const (
	// paceMemory is the time constant with which a reading of the pace approaches the
	// replica's mean: a pace changes several times a second.
	paceMemory = 300 * time.Millisecond
	// paceMeanTime is the time over which the mean is averaged.
	paceMeanTime = time.Second
	// paceQuiet is the time without a reading after which the mean approaches the usual
	// pace with the time constant paceForget, so that a replica that got no requests for
	// its pace is tried again.
	paceQuiet  = 2 * time.Second
	paceForget = 3 * time.Second
	// paceUsual is the pace of a replica that works as fast as it usually does.
	paceUsual = 1.0
)

// pace is how long work takes at a replica, as a factor of the usual time.
type pace struct {
	last float64
	mean float64 // over paceMeanTime, until at
	at   time.Time
}

// report adds a reading if it is newer than the last one.
func (p *pace) report(at time.Time, reading float64) {
	if !at.After(p.at) {
		return
	}
	if p.at.IsZero() {
		p.mean = reading
	} else {
		mean := p.meanAt(at)
		p.mean = reading + (mean-reading)*decay(at.Sub(p.at), paceMeanTime)
	}
	p.last, p.at = reading, at
}

// value returns the expected pace.
func (p *pace) value(now time.Time) float64 {
	if p.at.IsZero() {
		return paceUsual
	}
	mean := p.meanAt(now)
	return mean + (p.last-mean)*decay(now.Sub(p.at), paceMemory)
}

func (p *pace) meanAt(now time.Time) float64 {
	quiet := now.Sub(p.at) - paceQuiet
	return paceUsual + (p.mean-paceUsual)*decay(quiet, paceForget)
}

// decay returns the weight that is left after a time with exponential decay.
func decay(d, constant time.Duration) float64 {
	return math.Exp(-float64(max(d, 0)) / float64(constant))
}

// ReportPace records a pace that the replica reported, if it is newer than the last one.
func (r *Replica) ReportPace(at time.Time, factor float64) {
	if !(factor > 0) || math.IsInf(factor, 0) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace.report(at, factor)
}

// Pace returns how long work takes at the replica, as a factor: 1 is as usual, also for a
// replica that does not report its pace. With its age the last reading counts less, and
// the replica's mean more.
func (r *Replica) Pace(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace.value(now)
}

// ReportsPace reports whether the replica has reported its pace since its start.
func (r *Replica) ReportsPace() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.pace.at.IsZero()
}

// MarkMalformedLoad records that the replica reported a malformed load, and reports whether
// it is the first one.
func (r *Replica) MarkMalformedLoad() (first bool) {
	return r.malformedLoad.CompareAndSwap(false, true)
}
