package admission

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the retry-after time of refused clients.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// maxRetryLead bounds how long before its expected grant a refused client may retry. The
	// requests that wait in that time keep the replicas busy, so that clients that retry at
	// once find no idle capacity before those that honour the retry-after time.
	maxRetryLead = 500 * time.Millisecond
	// maxNewWaitShare bounds the expected wait of a new request, as a share of its maximum
	// wait. The rest is for requests with less time that arrive meanwhile.
	maxNewWaitShare = 0.6
	// maxFitSteps bounds the steps in which expectedInTime estimates the wait of a new
	// request. More are needed only while clients retry as fast as requests are served.
	maxFitSteps = 16
	// retryLeadShare bounds how long before its expected grant a refused client may retry,
	// as a share of its maximum wait. With maxNewWaitShare it leaves time for clients that
	// retry meanwhile and go before waiting new requests.
	retryLeadShare = 0.25
	// minRateShare is the minimum share of the rate that is assumed for a level. It keeps
	// estimates finite while more urgent levels get all grants.
	minRateShare = 1.0 / 32
	// waitTolerance is the factor by which the expected wait of a waiting request may exceed
	// its maximum wait before it is refused. Estimates vary by about this much.
	waitTolerance = 1.25
	// retryWaitTolerance is the same factor for a client that retried on time, to which the
	// retry-after time promised a slot. It also applies when such a retry arrives.
	retryWaitTolerance = 1.25
)

// expectedWait estimates how long a request waits that has `ahead` others before it in its bucket.
// These, requests of organisations that used less capacity, and all requests of more urgent
// levels go before it, unless its organisation or its level gets its reserved share of the
// grants sooner.
func (q *Queue) expectedWait(b *bucket, ahead float64, now time.Time) time.Duration {
	total := q.rate.perSecond(now)
	if total <= 0 {
		return maxRetryAfter
	}
	position := ahead + 1
	active := 1
	for _, other := range b.level.buckets {
		queued := float64(len(other.waiting)) + other.expectedRetries()
		if other == b || (queued == 0 && other.recentGrants < 1) {
			continue
		}
		active++
		position += min(queued, max(0, b.org.usedCapacity()+ahead+1-other.org.usedCapacity()))
	}
	urgent, rate := q.moreUrgent(b.level, total)
	bucketRate := max(rate-(b.level.recentGrants-b.recentGrants)/organisationTau.Seconds(), rate/float64(active))
	wait := max((urgent+position)/rate, ahead/bucketRate)
	if b.org.isStarved(q.meanServedShare()) {
		wait = min(wait, urgent/rate+(ahead+1)/rate/q.starvedShare(b.org))
	}
	if reservedRate := q.reservedShare(b.level) * total; q.canPromote(b.level) {
		wait = min(wait, max(position/reservedRate, ahead*float64(active)/reservedRate))
	}
	return secondsToDuration(wait)
}

// moreUrgent returns how many requests wait in more urgent levels, and the rate that remains for
// a level after these and the reserved shares of less urgent levels.
func (q *Queue) moreUrgent(l *level, total float64) (waiting, rate float64) {
	rate = total
	for _, other := range q.levels {
		switch {
		case other.priority < l.priority:
			waiting += float64(other.waiting)
			rate -= other.recentGrants / organisationTau.Seconds()
		case other.priority > l.priority && other.waiting > 0 && q.canPromote(other):
			rate -= q.reservedShare(other) * total
		}
	}
	return waiting, max(rate, minRateShare*total)
}

// maxWait returns how long a request may wait for its grant and still be in time.
func (q *Queue) maxWait(e *entry, now time.Time) time.Duration {
	return e.answerBy.Sub(now) - q.requiredTime()
}

// expectedInTime reports whether a request can be expected to be in time if it waits. Only
// clients that were refused earlier go before a client that retries on time. Before a new
// request also go the clients that retry until it is granted, which delays it, so that more of
// them retry: their number is found in steps.
func (q *Queue) expectedInTime(e *entry, now time.Time) bool {
	limit := q.maxWait(e, now)
	ahead := float64(e.bucket.positionOf(e))
	if e.refusalOrder > 0 {
		return q.expectedWait(e.bucket, ahead, now) <= time.Duration(retryWaitTolerance*float64(limit))
	}
	limit = time.Duration(maxNewWaitShare * float64(limit))
	if q.servedNoBetter(e.bucket.level) {
		return q.expectedWait(e.bucket, ahead, now) <= limit
	}
	retries := 0.0
	for range maxFitSteps {
		start := q.expectedWait(e.bucket, ahead+retries, now)
		if start > limit {
			return false
		}
		previous := retries
		retries = e.bucket.expectedRetriesBy(now.Add(start))
		if retries <= previous {
			return true
		}
	}
	return false
}

// servedNoBetter reports whether a less urgent level with waiting requests is served about as
// often as l. Clients retry at random times, so the queue of l is empty at times; new requests
// are then admitted to fill it.
func (q *Queue) servedNoBetter(l *level) bool {
	for _, other := range q.levels {
		if other.priority > l.priority && other.waiting > 0 && other.servedShare() > promotionRatio*l.servedShare() {
			return true
		}
	}
	return false
}

// retryAfter returns when a refused client may retry: when the backlog of its bucket and the
// clients refused before it are served, less a lead time for which its request can wait then.
// The retry times of one bucket are in the order of refusal and spaced at the rate at which
// requests are served: estimates vary, and clients that retry at the same moment could not all
// be served in time.
func (q *Queue) retryAfter(e *entry, now time.Time) time.Duration {
	b := e.bucket
	ahead := float64(len(b.waiting)) + b.expectedRetries()
	turn := q.expectedWait(b, ahead, now)
	lead := min(max(0, time.Duration(retryLeadShare*float64(q.maxWait(e, e.arrivedAt)))), maxRetryLead)
	after := turn - lead
	if n := len(b.retryTimes); n > 0 {
		spacing := float64(q.expectedWait(b, ahead+1, now)-turn) * b.retryShare
		after = max(after, b.retryTimes[n-1].Sub(now)+time.Duration(spacing))
	}
	return min(max(after, minRetryAfter), maxRetryAfter)
}
