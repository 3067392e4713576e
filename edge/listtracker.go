package edge

import (
	"math"
	"sync"
	"time"
)

// listTracker tracks when any router of the fleet read the list of replicas, and outages of the
// store, during which the entries of running replicas lapse. Routers are ordered by a score; the
// first one in the order reads the list, and its score is given as 0.
type listTracker struct {
	selfScore uint64 // this router's score

	mu                sync.Mutex
	readAt            time.Time // when the newest known list was read
	readerScore       uint64    // score of the router that read it
	fromOldEpoch      bool      // whether that was before the store was restored
	outageEnd         time.Time // end of the last known outage
	ownReadAt         time.Time // when this router last read the list
	ownScore          uint64    // score under which it did so, possibly 0
	previousOwnReadAt time.Time // when this router read the list before that
	precedingReadAt   time.Time // when a router that precedes this one last read the list
}

// unknownAge is published as the age of the list if none was ever read.
const unknownAge = time.Hour

// unknownReaderScore is the score of an unknown reader.
const unknownReaderScore = math.MaxUint64

// maxEchoDelay is the maximum time until other routers report a router's own list back to it.
const maxEchoDelay = 500 * time.Millisecond

// ownListMargin is how much newer another router's list may be for a router to still publish its
// own read. That way one of two concurrent readers learns of the other.
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
	if l.readAt.IsZero() || l.fromOldEpoch {
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
	l.outageEnd, l.fromOldEpoch = now, true
}

// recordRead records a list that this router read at readAt. If no list was known for longer than
// gap, the store was unavailable. firstInOrder is whether no router precedes this one. The result
// is whether this is the first known list since the store was restored from a backup.
func (l *listTracker) recordRead(now, readAt time.Time, gap time.Duration, firstInOrder bool) (restored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	restored = l.fromOldEpoch
	l.previousOwnReadAt, l.ownReadAt, l.ownScore = l.ownReadAt, readAt, l.selfScore
	if firstInOrder {
		l.ownScore = 0
	}
	l.update(now, readAt, l.ownScore, gap)
	return restored
}

// merge merges a list that another router reports. If that router reached the store all the time
// while this one could not, there was no outage.
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
// read. The list then seems newer than it is, by the time that the reports were under way.
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
	l.fromOldEpoch = false
}

// latest returns when the newest known list was read and when the last outage ended.
func (l *listTracker) latest() (readAt, outageEnd time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readAt, l.outageEnd
}

// isActiveReader reports whether this router reads the list at the interval of the first reader:
// it has read one recently, and no router that precedes it has read one since this router's last
// read but one.
func (l *listTracker) isActiveReader(now time.Time, interval time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ownReadAt.IsZero() && now.Sub(l.ownReadAt) < readerRetentionIntervals*interval &&
		!l.precedingReadAt.After(l.previousOwnReadAt)
}
