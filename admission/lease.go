package admission

import "time"

const (
	// leaseMargin is how long the lease of a grant lasts after the deadline of its request.
	leaseMargin = time.Second
	// maxLease bounds a lease.
	maxLease = 10 * time.Second
	// endedRetention is how long the ids of ended requests are remembered. Duplicated and
	// reordered datagrams arrive within that time.
	endedRetention = time.Second
	// maxEndedIDs bounds the remembered ids; the oldest are removed first.
	maxEndedIDs = 4096
)

// endedRequests remembers the requests that were refused, released or canceled, so that a duplicate
// datagram of such a request, or one that arrives after its Cancel, occupies no slot.
type endedRequests struct {
	replies map[requestKey]endedReply
	order   []endedKey // a ring in order of end
	oldest  int        // index of the oldest in order
}

type endedReply struct {
	retryAt time.Time
	until   time.Time
}

type endedKey struct {
	key   requestKey
	until time.Time
}

// add remembers a request that ended.
func (t *endedRequests) add(k requestKey, retryAt, now time.Time) {
	until := now.Add(endedRetention)
	t.replies[k] = endedReply{retryAt: retryAt, until: until}
	if len(t.order) < maxEndedIDs {
		t.order = append(t.order, endedKey{k, until})
		return
	}
	t.evict(t.order[t.oldest])
	t.order[t.oldest] = endedKey{k, until}
	t.oldest = (t.oldest + 1) % maxEndedIDs
}

// evict removes a request unless it was added again since.
func (t *endedRequests) evict(k endedKey) {
	if r, ok := t.replies[k.key]; ok && r.until.Equal(k.until) {
		delete(t.replies, k.key)
	}
}

// find returns the reply to a request that ended.
func (t *endedRequests) find(k requestKey, now time.Time) (Reply, bool) {
	r, ok := t.replies[k]
	if !ok || now.After(r.until) {
		return Reply{}, false
	}
	return Reply{ID: k.id, Incarnation: k.incarnation, State: Refused, RetryAfter: max(0, r.retryAt.Sub(now))}, true
}

// expiryIfGranted returns when the lease expires if the request is granted now.
func (e *entry) expiryIfGranted(now time.Time) time.Time {
	end := now.Add(maxLease)
	if e.Deadline > 0 {
		if byDeadline := e.arrivedAt.Add(e.Deadline + leaseMargin); byDeadline.Before(end) {
			end = byDeadline
		}
	}
	return end
}

// expireLeases releases the slots of grants whose leases have expired because the router did not
// release them, and updates the age of the oldest grant in progress.
func (q *Queue) expireLeases(now time.Time) {
	q.rate.oldestGrantAge = 0
	for _, e := range q.entries {
		switch {
		case e.state != Granted:
		case !now.Before(e.leaseExpiry):
			q.stats.Expired++
			q.endGrant(e, now)
		default:
			q.rate.oldestGrantAge = max(q.rate.oldestGrantAge, now.Sub(e.grantedAt))
		}
	}
}

// earliestLeaseExpiry returns when the first lease expires; zero if nothing is granted.
func (q *Queue) earliestLeaseExpiry() time.Time {
	var first time.Time
	for _, e := range q.entries {
		if e.state == Granted && (first.IsZero() || e.leaseExpiry.Before(first)) {
			first = e.leaseExpiry
		}
	}
	return first
}
