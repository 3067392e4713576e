package edge

import (
	"sync"
	"time"
)

// reading is what a router knows of the lists of replicas that any router of the
// fleet has read, and of outages of the store, in which entries lapse though
// their replicas live.
type reading struct {
	mu     sync.Mutex
	at     time.Time // when the newest list that is known of was read
	outage time.Time // when the last outage ended, as far as is known
}

// unknownAge tells other routers of a list that was never read.
const unknownAge = time.Hour

// ages returns the ages that other routers are told. An age of 0 is not said.
func (l *reading) ages(now time.Time) (read, outage time.Duration) {
	at, ended := l.last()
	if at.IsZero() {
		return unknownAge, 0
	}
	return max(now.Sub(at), time.Millisecond), now.Sub(ended)
}

// start begins with nothing known: what was before counts as an outage.
func (l *reading) start(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = now
}

// read takes in a list of the router's own. If no list was known of for longer
// than gap, the store was away.
func (l *reading) read(now, at time.Time, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Sub(l.at) > gap {
		l.outage = now
	}
	if at.After(l.at) {
		l.at = at
	}
}

// heard takes in another router's list. That router may have reached the store
// all the time in which this one was cut off; then there was no outage.
func (l *reading) heard(now, at, outage time.Time, gap time.Duration) {
	l.read(now, at, gap)
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(at) < gap && outage.Before(l.outage) {
		l.outage = outage
	}
}

// last returns when the newest list was read and when the last outage ended.
func (l *reading) last() (at, outage time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at, l.outage
}
