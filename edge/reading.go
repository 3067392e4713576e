package edge

import (
	"math"
	"sync"
	"time"
)

// reading is what a router knows of the lists of replicas that any router of the
// fleet has read, and of outages of the store, in which entries lapse though
// their replicas live.
type reading struct {
	self uint64 // this router's rank among the readers

	mu     sync.Mutex
	at     time.Time // when the newest list that is known of was read
	by     uint64    // the rank of its reader, 0 for the first one
	old    bool      // whether that was before the store was set up again
	outage time.Time // when the last outage ended, as far as is known
	own    time.Time // when this router read its last list
	ownBy  uint64    // its rank then
	before time.Time // when it read the one before
	better time.Time // when a router that comes before this one read its last one
}

// unknownAge is published as the age of a list that was never read.
const unknownAge = time.Hour

// unknownReader is the rank of the reader of a list if it is not known.
const unknownReader = math.MaxUint64

// ownReturnsWithin bounds the time that reports of a router's own list take until they return.
const ownReturnsWithin = 500 * time.Millisecond

// ownPreferredFor is how much newer another router's list may be while a router still
// publishes its own one instead, so that of two readers one learns of the other.
const ownPreferredFor = 300 * time.Millisecond

// peerList is what another router reports of lists: when the newest that it knows of was
// read, the rank of its reader, and when the last outage ended.
type peerList struct {
	at, outage time.Time
	by         uint64
}

// ages returns the ages to publish to other routers, and the rank of the list's reader. An
// age of 0 is not published.
func (l *reading) ages(now time.Time) (read, outage time.Duration, by uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.IsZero() || l.old {
		return unknownAge, 0, 0
	}
	at, by := l.at, l.by
	if l.at.Sub(l.own) < ownPreferredFor {
		at, by = l.own, l.ownBy
	}
	return max(now.Sub(at), time.Millisecond), now.Sub(l.outage), by
}

// start begins with nothing known: what was before counts as an outage.
func (l *reading) start(now time.Time, rank uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage, l.self = now, rank
}

// begin records that the store was set up again from a copy, which lacks what was
// written last.
func (l *reading) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage, l.old = now, true
}

// read records a list that this router has read. If no list was known of for longer
// than gap, the store was away. first is set if no router comes before this one. It
// returns whether the list is the first one that is known since the store was set up
// again.
func (l *reading) read(now, at time.Time, gap time.Duration, first bool) (copied bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied = l.old
	l.before, l.own, l.ownBy = l.own, at, l.self
	if first {
		l.ownBy = 0
	}
	l.update(now, at, l.ownBy, gap)
	return copied
}

// merge merges another router's list. That router may have reached the store
// all the time in which this one was cut off; then there was no outage.
func (l *reading) merge(now time.Time, h peerList, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOwn(h) {
		l.update(now, h.at, h.by, gap)
	}
	if now.Sub(h.at) < gap && h.outage.Before(l.outage) {
		l.outage = h.outage
	}
	if h.by < l.self && h.at.After(l.better) {
		l.better = h.at
	}
}

// isOwn reports whether a list that another router knows of is the last one that this router
// read. It seems newer than it is, by the time that the reports of it took.
func (l *reading) isOwn(h peerList) bool {
	return !l.own.IsZero() && h.by == l.ownBy && h.at.Sub(l.own) < ownReturnsWithin
}

func (l *reading) update(now, at time.Time, by uint64, gap time.Duration) {
	if at.Sub(l.at) > gap {
		l.outage = now
	}
	if at.After(l.at) {
		l.at, l.by = at, by
	}
	l.old = false
}

// last returns when the newest list was read and when the last outage ended.
func (l *reading) last() (at, outage time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at, l.outage
}

// keeps reports whether this router reads the list at the pace of its first reader: it
// has read one lately, and no router that comes before it has since its last but one.
func (l *reading) keeps(now time.Time, pace time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.own.IsZero() && now.Sub(l.own) < keepsPaces*pace && !l.better.After(l.before)
}
