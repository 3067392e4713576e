package admission

import (
	"slices"
	"time"
)

// grantWaiting grants free slots to waiting requests, and refuses those that are too late.
func (q *Queue) grantWaiting(now time.Time) {
	for {
		e, r := q.nextGrant(now)
		if e == nil {
			return
		}
		if r == nil {
			q.refuseWaiting(e, TimedOut, 0, now)
			continue
		}
		q.removeWaiting(e)
		q.stats.Waited++
		q.grant(e, r, now)
		q.addDecision(e, e.reply())
	}
}

// grant grants a request a slot at the replica.
func (q *Queue) grant(e *entry, r *replica, now time.Time) {
	e.state = Granted
	e.replica = r
	e.grantedAt = now
	e.leaseExpiry = e.expiryIfGranted(now)
	r.changeHeld(1, now)
	e.pace = r.paceNow
	e.contention = r.contentionFactor(float64(r.held) + r.otherLoadNow)
	q.entries[e.key()] = e
	q.countGrant(e, now)
}

// countGrant counts a grant for its organisation and level.
func (q *Queue) countGrant(e *entry, now time.Time) {
	b := e.bucket
	b.org.inProgress++
	b.org.granted.add(1, now, organisationTau)
	b.org.recentGrants++
	b.granted.add(1, now, organisationTau)
	b.recentGrants++
	b.level.recentGrants++
	b.level.granted.add(1, now, levelTau)
	b.level.grantedNow++
	for _, l := range q.levels {
		if l.waiting > 0 {
			l.skippedGrants++
		}
	}
	b.level.skippedGrants = 0
	q.grantsSinceStarvedOrg++
	q.stats.Granted++
	if e.refusalOrder > 0 { // a retry after a refusal
		q.stats.RetriesGranted++
	}
	if !e.retriedEarly {
		return
	}
	if client := q.refused.find(e.Fingerprint, now); client != nil {
		q.refused.remove(client) // it retried early and found idle capacity
	}
}

// endGrant releases the slot of a granted request.
func (q *Queue) endGrant(e *entry, now time.Time) {
	e.replica.changeHeld(-1, now)
	e.bucket.org.inProgress--
	delete(q.entries, e.key())
	q.ended.add(e.key(), now, now)
	if e.replica.unavailable && e.replica.held == 0 {
		q.replicas = slices.DeleteFunc(q.replicas, func(r *replica) bool { return r == e.replica })
	}
}

// removeWaiting removes a waiting request from its bucket and from the queue's entries.
func (q *Queue) removeWaiting(e *entry) {
	e.bucket.remove(e)
	delete(q.entries, e.key())
}

// refuse refuses a request that is not in a bucket. after is the retry-after time; 0 if it is
// to be computed.
func (q *Queue) refuse(e *entry, reason Reason, after time.Duration, now time.Time) Reply {
	q.stats.Refused[reason]++
	e.state = Refused
	if after == 0 {
		after = q.retryAfter(e, now)
		q.rememberRefusal(e, after, now)
	} else if reason != Stopped {
		after = max(after, minRetryAfter) // routers take stopRetryAfter to mean that the coordinator stops
	}
	q.ended.add(e.key(), now.Add(after), now)
	r := e.reply()
	r.RetryAfter = after
	return r
}

// refuseWaiting refuses a waiting request.
func (q *Queue) refuseWaiting(e *entry, reason Reason, after time.Duration, now time.Time) {
	q.removeWaiting(e)
	q.addDecision(e, q.refuse(e, reason, after, now))
}

// addDecision adds a decision on a waiting request to those that the caller fetches next.
func (q *Queue) addDecision(e *entry, r Reply) {
	q.decisions = append(q.decisions, Decision{Router: e.Router, Reply: r})
}

// discardDecisions removes the decisions on a canceled request that were not fetched yet.
func (q *Queue) discardDecisions(e *entry) {
	q.decisions = slices.DeleteFunc(q.decisions, func(d Decision) bool {
		return d.Router == e.Router && d.Incarnation == e.Incarnation && d.ID == e.ID
	})
}

// refuseLate refuses the waiting requests that are no longer expected to be granted in time:
// capacity may have shrunk since they arrived.
func (q *Queue) refuseLate(now time.Time) {
	for _, l := range q.levels {
		for _, b := range l.buckets {
			for i := 0; i < len(b.waiting); {
				e := b.waiting[i]
				if !q.expectedLate(e, i, now) {
					i++
					continue
				}
				q.refuseWaiting(e, TimedOut, 0, now)
			}
		}
	}
}

// expectedLate reports whether a request with `ahead` others before it in its bucket is not
// expected to be granted in time.
func (q *Queue) expectedLate(e *entry, ahead int, now time.Time) bool {
	limit := q.maxWait(e, now)
	if limit <= 0 || !q.hasUsableReplica(e) {
		return true
	}
	factor := waitTolerance
	if e.refusalOrder > 0 { // a retry after a refusal
		factor = retryWaitTolerance
	}
	return q.expectedWait(e.bucket, float64(ahead), now) > time.Duration(factor*float64(limit))
}

// ensureQueueSpace reports whether one more request may wait. If too many wait, it refuses the last
// request of the longest bucket of the least urgent level, unless the new request is less
// urgent or would make its own bucket as long.
func (q *Queue) ensureQueueSpace(e *entry, now time.Time) bool {
	if q.waitingCount() < maxWaiting {
		return true
	}
	longest := q.longestBucket()
	own := e.bucket
	if own.level.priority > longest.level.priority {
		return false
	}
	if own.level == longest.level && len(own.waiting)+1 >= len(longest.waiting) {
		return false
	}
	q.refuseWaiting(longest.waiting[len(longest.waiting)-1], QueueFull, 0, now)
	return true
}

// longestBucket returns the longest bucket of the least urgent level with waiting requests.
func (q *Queue) longestBucket() *bucket {
	for _, l := range slices.Backward(q.levels) {
		if l.waiting == 0 {
			continue
		}
		return slices.MaxFunc(l.buckets, func(a, b *bucket) int { return len(a.waiting) - len(b.waiting) })
	}
	return nil
}
