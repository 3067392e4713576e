package admission

import "time"

const (
	// maxOpenRequests bounds the open requests of a service.
	maxOpenRequests = 4096
	// maxEndedReplies bounds the ended requests that are remembered, so that a late or
	// repeated message about one has no effect.
	maxEndedReplies = 1024
)

// requestKey identifies a request among those of all routers.
type requestKey struct {
	router      string
	incarnation int64
	id          uint64
}

// openRequest is a request that waits or is granted.
type openRequest struct {
	reply       Reply
	leaseExpiry time.Time
}

// requestTable holds the requests of a service with their latest replies and the expiry times of
// their leases.
type requestTable struct {
	open    map[requestKey]*openRequest
	waiting int
	// earliestLeaseExpiry is at or before the time when the first lease expires; zero if there is none.
	earliestLeaseExpiry time.Time
	ended               map[requestKey]Reply
	order               []requestKey // the keys of ended in order of end, a ring
	oldest              int          // index of the oldest in order
}

func newRequestTable() *requestTable {
	return &requestTable{open: make(map[requestKey]*openRequest), ended: make(map[requestKey]Reply)}
}

// find returns the latest reply to a request, if it is known.
func (t *requestTable) find(k requestKey) (Reply, bool) {
	if o, ok := t.open[k]; ok {
		return o.reply, true
	}
	reply, ok := t.ended[k]
	return reply, ok
}

// recordSubmit records the first reply to a request.
func (t *requestTable) recordSubmit(now time.Time, k requestKey, r Request, reply Reply) {
	if reply.State == Refused {
		t.recordEnded(k, reply)
		return
	}
	lease := now.Add(min(max(r.Deadline, 0)+leaseMargin, maxLease))
	t.open[k] = &openRequest{reply: reply, leaseExpiry: lease}
	if reply.State == Waiting {
		t.waiting++
	}
	if t.earliestLeaseExpiry.IsZero() || lease.Before(t.earliestLeaseExpiry) {
		t.earliestLeaseExpiry = lease
	}
}

// recordDecision records the final reply to a waiting request, and reports whether it still
// waited.
func (t *requestTable) recordDecision(k requestKey, reply Reply) bool {
	o, ok := t.open[k]
	if !ok || o.reply.State != Waiting {
		return false
	}
	if reply.State == Refused {
		t.end(k, reply)
		return true
	}
	t.waiting--
	o.reply = reply
	return true
}

// end records that a request has ended, and reports whether it was open. If the request is
// submitted again, it gets the reply.
func (t *requestTable) end(k requestKey, reply Reply) bool {
	o, ok := t.open[k]
	if ok {
		delete(t.open, k)
		if o.reply.State == Waiting {
			t.waiting--
		}
	}
	t.recordEnded(k, reply)
	return ok
}

func (t *requestTable) recordEnded(k requestKey, reply Reply) {
	if _, ok := t.ended[k]; ok {
		return
	}
	t.ended[k] = reply
	if len(t.order) < maxEndedReplies {
		t.order = append(t.order, k)
		return
	}
	delete(t.ended, t.order[t.oldest])
	t.order[t.oldest] = k
	t.oldest = (t.oldest + 1) % maxEndedReplies
}

// takeExpired returns the requests whose leases have expired, and recomputes earliestLeaseExpiry from
// the others.
func (t *requestTable) takeExpired(now time.Time) []requestKey {
	if t.earliestLeaseExpiry.IsZero() || now.Before(t.earliestLeaseExpiry) {
		return nil
	}
	var keys []requestKey
	t.earliestLeaseExpiry = time.Time{}
	for k, o := range t.open {
		switch {
		case !now.Before(o.leaseExpiry):
			keys = append(keys, k)
		case t.earliestLeaseExpiry.IsZero() || o.leaseExpiry.Before(t.earliestLeaseExpiry):
			t.earliestLeaseExpiry = o.leaseExpiry
		}
	}
	return keys
}
