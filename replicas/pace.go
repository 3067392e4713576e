package replicas

import (
	"math"
	"time"
)

const (
	// paceReadingTimeConstant is the time constant with which the expected pace moves from
	// the last reading to the replica's mean: a pace changes several times per second.
	paceReadingTimeConstant = 300 * time.Millisecond
	// paceMeanTimeConstant is the time constant of the moving average of readings.
	paceMeanTimeConstant = time.Second
	// paceHoldTime is the time without a reading after which the mean approaches normalPace
	// with the time constant paceResetTimeConstant, so that a replica that gets no requests
	// because of its pace eventually gets some again.
	paceHoldTime          = 2 * time.Second
	paceResetTimeConstant = 3 * time.Second
	// normalPace is the pace of a replica that works at its usual speed.
	normalPace = 1.0
)

// pace holds a replica's slowdown factor: how long work takes relative to the usual time.
type pace struct {
	last float64
	mean float64 // moving average of the readings until at
	at   time.Time
}

// addReading adds a reading if it is newer than the last one.
func (p *pace) addReading(at time.Time, reading float64) {
	if !at.After(p.at) {
		return
	}
	if p.at.IsZero() {
		p.mean = reading
	} else {
		mean := p.meanAt(at)
		p.mean = reading + (mean-reading)*decayFactor(at.Sub(p.at), paceMeanTimeConstant)
	}
	p.last, p.at = reading, at
}

// expected returns the expected pace at a time.
func (p *pace) expected(now time.Time) float64 {
	if p.at.IsZero() {
		return normalPace
	}
	mean := p.meanAt(now)
	return mean + (p.last-mean)*decayFactor(now.Sub(p.at), paceReadingTimeConstant)
}

// meanAt returns the mean, which approaches normalPace after paceHoldTime without a reading.
func (p *pace) meanAt(now time.Time) float64 {
	decayTime := now.Sub(p.at) - paceHoldTime
	return normalPace + (p.mean-normalPace)*decayFactor(decayTime, paceResetTimeConstant)
}

// decayFactor returns the factor by which exponential decay reduces a value in a time.
func decayFactor(d, constant time.Duration) float64 {
	return math.Exp(-float64(max(d, 0)) / float64(constant))
}

// ReportPace records a pace that the replica reported, if it is newer than the last one.
// Factors that are not positive and finite are ignored.
func (r *Replica) ReportPace(at time.Time, factor float64) {
	if !(factor > 0) || math.IsInf(factor, 0) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace.addReading(at, factor)
}

// Pace returns the replica's expected slowdown factor: how long work takes relative to the
// usual time. It is 1 for a replica that does not report its pace. As the last reading grows
// older it counts less, and the replica's mean counts more.
func (r *Replica) Pace(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace.expected(now)
}

// ReportsPace reports whether the replica has reported its pace since its start.
func (r *Replica) ReportsPace() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.pace.at.IsZero()
}

// MarkMalformedLoad records that the replica reported a malformed load, and reports whether
// this is the first one.
func (r *Replica) MarkMalformedLoad() (first bool) {
	return r.malformedLoad.CompareAndSwap(false, true)
}
