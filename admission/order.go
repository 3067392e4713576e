package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// organisationTau is the time constant with which an organisation's requests and grants
	// decay.
	organisationTau = 2 * time.Second
	// levelTau is the time constant with which a level's requests and grants decay.
	levelTau = 4 * time.Second
	// reservedInterval is the number of grants of which each waiting level, and a starved
	// organisation, gets at least one.
	reservedInterval = 8
	// minServedRatio is the ratio to the mean served share below which a level goes before
	// more urgent ones, and an organisation counts as starved. Clients are promised a
	// quarter of the mean; every eighth grant alone is less than that for a level with more
	// than half of the load.
	minServedRatio = 1.0 / 3
	// promotionRatio bounds the ratio of a level's served share to those of more urgent levels
	// if it goes before them. The shares are computed from a few hundred requests and vary
	// by a tenth.
	promotionRatio = 0.75
	// maxLevel is the least urgent level; requests of lower priority count as of it.
	maxLevel = 15
)

// level holds the waiting requests of one priority.
type level struct {
	priority      int
	buckets       []*bucket
	waiting       int
	skippedGrants int           // grants to other levels since its last one, while it waited
	requested     decayingCount // requests, without retries of refused clients
	granted       decayingCount

	// The decayed counts at the time of the present call, see refresh.
	requestedNow, grantedNow, recentGrants float64
}

// bucket holds the waiting requests of one organisation at one level, in order.
type bucket struct {
	org        *organisation
	level      *level
	waiting    []*entry
	granted    decayingCount
	retryTimes []time.Time // of refused clients that may still retry, until retryWindow later
	retryShare float64     // share of the refused clients that retry on time

	recentGrants float64 // the decayed count of grants at the time of the present call
}

// refresh updates the decayed counts to now.
func (l *level) refresh(now time.Time) {
	l.requestedNow = l.requested.value(now, levelTau)
	l.grantedNow = l.granted.value(now, levelTau)
	l.recentGrants = 0
	for _, b := range l.buckets {
		b.recentGrants = b.granted.value(now, organisationTau)
		l.recentGrants += b.recentGrants
	}
}

// servedShare returns the share of the level's recent requests that were granted.
func (l *level) servedShare() float64 { return l.grantedNow / max(l.requestedNow, 1) }

// findOrAddLevel returns the level of a priority, which it adds if necessary.
func (q *Queue) findOrAddLevel(priority int) *level {
	priority = min(max(priority, 0), maxLevel)
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int { return cmp.Compare(l.priority, p) })
	if !ok {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority})
	}
	return q.levels[i]
}

// findOrAddBucket returns the bucket of an organisation, which it adds if necessary.
func (l *level) findOrAddBucket(o *organisation) *bucket {
	for _, b := range l.buckets {
		if b.org == o {
			return b
		}
	}
	b := &bucket{org: o, level: l, retryShare: 1}
	o.buckets++
	l.buckets = append(l.buckets, b)
	return b
}

// compareEntries orders the requests of a bucket: first the clients that retried on time, by the
// order of their refusal; then new requests, by the time until which an answer is in time; last
// the clients that retried early, by that time.
func compareEntries(a, b *entry) int {
	if a.retriedEarly != b.retriedEarly {
		if b.retriedEarly {
			return -1
		}
		return 1
	}
	if (a.refusalOrder > 0) != (b.refusalOrder > 0) {
		return cmp.Compare(b.refusalOrder, a.refusalOrder)
	}
	return cmp.Or(
		cmp.Compare(a.refusalOrder, b.refusalOrder),
		a.answerBy.Compare(b.answerBy),
		cmp.Compare(a.arrival, b.arrival),
	)
}

// positionOf returns how many requests of the bucket go before the entry.
func (b *bucket) positionOf(e *entry) int {
	i, _ := slices.BinarySearchFunc(b.waiting, e, compareEntries)
	return i
}

// push adds a waiting request.
func (b *bucket) push(e *entry) {
	b.waiting = slices.Insert(b.waiting, b.positionOf(e), e)
	b.level.waiting++
}

// remove removes a waiting request.
func (b *bucket) remove(e *entry) {
	i, ok := slices.BinarySearchFunc(b.waiting, e, compareEntries)
	if !ok {
		return
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.level.waiting--
	if b.level.waiting == 0 {
		b.level.skippedGrants = 0
	}
}

// nextGrant returns the request that is granted next and its replica; nil if no waiting request
// can use a replica with free slots. A request that is returned without a replica is too late
// for all of them.
func (q *Queue) nextGrant(now time.Time) (*entry, *replica) {
	if !slices.ContainsFunc(q.replicas, func(r *replica) bool { return r.freeSlots() > 0 }) {
		return nil, nil
	}
	promoted := q.promotedLevel()
	if promoted != nil {
		if e, r := q.nextInLevel(promoted, now); e != nil {
			return e, r
		}
	}
	for _, l := range q.levels {
		if l == promoted || l.waiting == 0 {
			continue
		}
		if e, r := q.nextInLevel(l, now); e != nil {
			return e, r
		}
	}
	return nil, nil
}

// promotedLevel returns the waiting level that goes before more urgent ones, nil if there is none:
// a level that got none of the last grants or whose served share is far below the mean.
func (q *Queue) promotedLevel() *level {
	mean := q.meanServedShare()
	for _, l := range q.levels {
		starved := l.skippedGrants >= reservedInterval-1 || l.servedShare() < minServedRatio*mean
		if l.waiting > 0 && starved && q.canPromote(l) {
			return l
		}
	}
	return nil
}

// canPromote reports whether a level may go before more urgent ones: only while it is served less
// often than each of them that has waiting requests or recent grants. A more urgent level whose
// requests all arrive too late to be in time has neither and does not count.
func (q *Queue) canPromote(l *level) bool {
	for _, other := range q.levels {
		if other == l {
			break
		}
		if (other.waiting > 0 || other.grantedNow >= 1) && promotionRatio*other.servedShare() <= l.servedShare() {
			return false
		}
	}
	return true
}

// meanServedShare returns the share of the recent requests of all levels that were granted.
func (q *Queue) meanServedShare() float64 {
	var requested, granted float64
	for _, l := range q.levels {
		requested += l.requestedNow
		granted += l.grantedNow
	}
	return granted / max(requested, 1)
}

// reservedShare returns the minimum share of the grants that a level gets while it waits.
func (q *Queue) reservedShare(l *level) float64 {
	var requested float64
	for _, other := range q.levels {
		requested += other.requestedNow
	}
	return max(1.0/reservedInterval, minServedRatio*l.requestedNow/max(requested, 1))
}

// nextInLevel returns the request of a level that is granted next and its replica: a request of
// the organisation that used the least capacity, except that every eighth grant may go to a
// starved organisation.
func (q *Queue) nextInLevel(l *level, now time.Time) (*entry, *replica) {
	order := q.scratch[:0]
	for _, b := range l.buckets {
		if len(b.waiting) > 0 {
			order = append(order, b)
		}
	}
	slices.SortStableFunc(order, func(a, b *bucket) int {
		return cmp.Compare(a.org.usedCapacity(), b.org.usedCapacity())
	})
	q.scratch = order
	if b := q.starvedBucket(order); b != nil {
		if e, r := q.firstInBucket(b, now); e != nil {
			q.grantsSinceStarvedOrg = 0
			return e, r
		}
	}
	for _, b := range order {
		if e, r := q.firstInBucket(b, now); e != nil {
			return e, r
		}
	}
	return nil, nil
}

// starvedBucket returns the bucket of a starved organisation that goes first out of order, nil if
// there is none.
func (q *Queue) starvedBucket(order []*bucket) *bucket {
	if q.grantsSinceStarvedOrg < reservedInterval-1 {
		return nil
	}
	mean := q.meanServedShare()
	for _, b := range slices.Backward(order) {
		if b.org.isStarved(mean) {
			return b
		}
	}
	return nil
}

// firstInBucket returns the first request of a bucket that can use a replica with free slots, and
// the replica. A request that is returned without a replica is too late for all of them.
func (q *Queue) firstInBucket(b *bucket, now time.Time) (*entry, *replica) {
	for _, e := range b.waiting {
		if q.wouldBeLate(e, now) {
			return e, nil
		}
		if r := q.pickReplica(e, now); r != nil {
			return e, r
		}
	}
	return nil, nil
}
