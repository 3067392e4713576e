package edge

import (
	"math"
	"sync"
	"time"
)

// listTracker tracks when the routers of the fleet last read the list of replicas from the store. It
// also tracks outages of the store, during which the entries of running replicas expire. The routers
// are ordered by a score. The first one reads the list for all, and records its reads under score 0.
type listTracker struct {
	selfScore uint64 // this router's score

	mu                sync.Mutex
	readAt            time.Time // when the newest known list was read
	readerScore       uint64    // score of the router that read it
	readBeforeRestore bool      // whether the list was read before the store was restored
	outageEnd         time.Time // end of the last known outage
	ownReadAt         time.Time // when this router last read the list
	ownScore          uint64    // score for that read: selfScore, or 0 if this router was the first
	previousOwnReadAt time.Time // when this router read the list before that
	precedingReadAt   time.Time // when a router that precedes this one last read the list
}

// unknownAge is published as the age of the list if none is known, or none since the store was
// restored from a backup.
const unknownAge = time.Hour

// unknownReaderScore is the score of an unknown reader.
const unknownReaderScore = math.MaxUint64

// maxEchoDelay is the maximum time until other routers report a router's own list back to it.
const maxEchoDelay = 500 * time.Millisecond

// ownListMargin is the time by which the newest list must be newer than a router's own for the router
// to publish the newest one. Below it the router publishes its own read, so that one of two
// concurrent readers learns of the other.
const ownListMargin = 300 * time.Millisecond

// peerList is what another router reports about the list: when the newest one that it knows of
// was read, the score of its reader, and when the last outage ended.
type peerList struct {
	readAt, outageEnd time.Time
	readerScore       uint64
}

// ages returns the ages to publish to other routers and the score of the list's reader. An age of
// 0 means that none is published, so the age of a list is always positive.
func (l *listTracker) ages(now time.Time) (readAge, outageAge time.Duration, readerScore uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.IsZero() || l.readBeforeRestore {
		return unknownAge, 0, 0
	}
	at, readerScore := l.readAt, l.readerScore
	if l.readAt.Sub(l.ownReadAt) < ownListMargin {
		at, readerScore = l.ownReadAt, l.ownScore
	}
	return max(now.Sub(at), time.Millisecond), now.Sub(l.outageEnd), readerScore
}

// start initializes the tracker. The time before the start counts as an outage.
func (l *listTracker) start(now time.Time, score uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outageEnd, l.selfScore = now, score
}

// beginEpoch records that the store was restored from a backup, which lacks the latest writes.
func (l *listTracker) beginEpoch(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outageEnd, l.readBeforeRestore = now, true
}

// recordRead records a list that this router read at readAt. If the newest list known before is older
// than this one by more than gap, the store was unavailable meanwhile. firstInOrder is whether no
// router precedes this one. The result is whether this is the first known list since the store was
// restored from a backup.
func (l *listTracker) recordRead(now, readAt time.Time, gap time.Duration, firstInOrder bool) (restored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	restored = l.readBeforeRestore
	l.previousOwnReadAt, l.ownReadAt, l.ownScore = l.ownReadAt, readAt, l.selfScore
	if firstInOrder {
		l.ownScore = 0
	}
	l.update(now, readAt, l.ownScore, gap)
	return restored
}

// merge merges a list that another router reports. If the list is recent and the last outage that the
// other router knows of ended earlier, that time replaces this router's: the store was available to
// others while this router could not reach it.
func (l *listTracker) merge(now time.Time, peer peerList, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isEcho(peer) {
		l.update(now, peer.readAt, peer.readerScore, gap)
	}
	if now.Sub(peer.readAt) < gap && peer.outageEnd.Before(l.outageEnd) {
		l.outageEnd = peer.outageEnd
	}
	if peer.readerScore < l.selfScore && peer.readAt.After(l.precedingReadAt) {
		l.precedingReadAt = peer.readAt
	}
}

// isEcho reports whether a list that another router reports is the last one that this router
// read. Its reported read time is later than the real one by the transmission time of the
// reports.
func (l *listTracker) isEcho(peer peerList) bool {
	return !l.ownReadAt.IsZero() && peer.readerScore == l.ownScore && peer.readAt.Sub(l.ownReadAt) < maxEchoDelay
}

func (l *listTracker) update(now, readAt time.Time, readerScore uint64, gap time.Duration) {
	if readAt.Sub(l.readAt) > gap {
		l.outageEnd = now
	}
	if readAt.After(l.readAt) {
		l.readAt, l.readerScore = readAt, readerScore
	}
	l.readBeforeRestore = false
}

// latest returns when the newest known list was read and when the last outage ended.
func (l *listTracker) latest() (readAt, outageEnd time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readAt, l.outageEnd
}

// isActiveReader reports whether this router reads the list at the interval of the first reader:
// it has read the list recently, and no router that precedes it has done so since this router's
// second-to-last read.
func (l *listTracker) isActiveReader(now time.Time, interval time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ownReadAt.IsZero() && now.Sub(l.ownReadAt) < readerRetentionIntervals*interval &&
		!l.precedingReadAt.After(l.previousOwnReadAt)
}
