package admission

import (
	"slices"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// maxWaiting bounds the waiting requests.
	maxWaiting = 1000
	// checkInterval is the interval at which waiting requests, leases and refused clients
	// are checked.
	checkInterval = 100 * time.Millisecond
)

// Queue shares the replicas of one service among requests. It decides which request is granted
// the next free slot, which requests wait, and when refused clients may retry. It handles
// bursts, organisations that request many times their share, clients that retry at once,
// replicas that are slow or unreachable, and a coordinator that starts under full load.
//
// The methods are safe for concurrent use. Fetch the decisions after each call of another
// method, as it may release a slot or decide on other requests, and again when the time
// returned with the decisions has passed.
type Queue struct {
	clock peridotusher.Clock

	mu                    sync.Mutex
	replicas              []*replica
	levels                []*level // the most urgent first
	organisations         map[string]*organisation
	entries               map[requestKey]*entry // requests that wait or are granted
	refused               refusedClients
	ended                 endedRequests
	rate                  rateEstimate
	fastestPace           float64 // lowest pace of the replicas
	decisions             []Decision
	arrivals              uint64
	lastCheck             time.Time
	stopped               bool
	stats                 Stats
	scratch               []*bucket
	grantsSinceStarvedOrg int // grants since the last one to a starved organisation
}

// entry is a request that waits or is granted.
type entry struct {
	Request
	state        State
	bucket       *bucket
	arrival      uint64
	arrivedAt    time.Time
	answerBy     time.Time // until when the answer is in time
	isRetry      bool      // its client was refused before and retried on time
	refusalOrder uint64    // position of its client's first refusal; 0 if it did not retry on time
	retriedEarly bool      // its client was refused before and may not retry yet

	replica          *replica
	grantedAt        time.Time
	leaseExpiry      time.Time
	pace, contention float64 // the replica's pace and contention factor at the grant
}

func (e *entry) key() requestKey { return requestKey{e.Router, e.Incarnation, e.ID} }

func (e *entry) reply() Reply {
	r := Reply{ID: e.ID, Incarnation: e.Incarnation, State: e.state}
	if e.state == Granted {
		r.Replica = e.replica.hash
	}
	return r
}

// NewQueue returns a queue without replicas.
func NewQueue(clock peridotusher.Clock) *Queue {
	return &Queue{
		clock:         clock,
		organisations: map[string]*organisation{},
		entries:       map[requestKey]*entry{},
		refused:       newRefusedClients(),
		ended:         endedRequests{replies: map[requestKey]endedReply{}},
		fastestPace:   1,
	}
}

// Submit requests a slot. A request that is submitted again keeps its state.
func (q *Queue) Submit(r Request) Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	k := requestKey{r.Router, r.Incarnation, r.ID}
	if e, ok := q.entries[k]; ok {
		return e.reply()
	}
	if reply, ok := q.ended.find(k, now); ok {
		return reply
	}
	q.advance(now)
	e := q.newEntry(r, now)
	if q.stopped {
		return q.refuse(e, Stopped, stopRetryAfter, now)
	}
	untilRetry := q.identifyRetry(e, now)
	if !e.isRetry {
		e.bucket.level.requested.add(1, now, levelTau)
		e.bucket.org.requested.add(1, now, organisationTau)
	}
	q.grantWaiting(now)
	return q.admit(e, untilRetry, now)
}

// newEntry returns the entry of a new request.
func (q *Queue) newEntry(r Request, now time.Time) *entry {
	q.arrivals++
	target := r.LatencyTarget
	if r.Deadline > 0 {
		target = min(target, r.Deadline)
	}
	return &entry{
		Request:   r,
		bucket:    q.findOrAddLevel(r.Priority).findOrAddBucket(q.findOrAddOrganisation(r.Organisation)),
		arrival:   q.arrivals,
		arrivedAt: now,
		answerBy:  now.Add(target),
	}
}

// admit grants a new request a slot that no waiting request can use, queues it or refuses it.
// untilRetry is the time left if its client retried too early.
func (q *Queue) admit(e *entry, untilRetry time.Duration, now time.Time) Reply {
	if !now.Before(e.answerBy) {
		return q.refuse(e, InsufficientTime, untilRetry, now)
	}
	if r := q.pickReplica(e, now); r != nil {
		q.grant(e, r, now)
		return e.reply()
	}
	switch {
	case !q.hasUsableReplica(e):
		return q.refuse(e, NoReplica, untilRetry, now)
	case !q.expectedInTime(e, now) && e.retriedEarly:
		return q.refuse(e, RetriedTooEarly, untilRetry, now)
	case !q.expectedInTime(e, now):
		return q.refuse(e, InsufficientTime, 0, now)
	case !q.ensureQueueSpace(e, now):
		return q.refuse(e, QueueFull, untilRetry, now)
	}
	e.state = Waiting
	q.entries[e.key()] = e
	e.bucket.push(e)
	return e.reply()
}

// hasUsableReplica reports whether there is a replica that the request may be sent to.
func (q *Queue) hasUsableReplica(e *entry) bool {
	for _, r := range q.replicas {
		if !r.unavailable && !slices.Contains(e.Exclude, r.hash) {
			return true
		}
	}
	return false
}

// Release ends a granted request and records the usage that its router reports.
func (q *Queue) Release(router string, incarnation int64, id uint64, u Usage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.entries[requestKey{router, incarnation, id}]
	if !ok || e.state != Granted {
		return
	}
	now := q.clock.Now()
	q.advance(now)
	if r := q.findReplica(u.Replica); r != nil && u.Replica != 0 {
		r.recordAnswer(u, now)
	}
	if u.Replica == e.replica.hash && !u.Failed {
		q.rate.recordRelease(e, u, q.waitingCount() > 0, now)
	}
	q.stats.Released++
	q.endGrant(e, now)
}

// Cancel ends a request: its client disconnected, or its router chose a replica itself. If the
// request has not arrived yet, its id is remembered for endedRetention.
func (q *Queue) Cancel(router string, incarnation int64, id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.advance(now)
	k := requestKey{router, incarnation, id}
	e, ok := q.entries[k]
	switch {
	case !ok:
		q.ended.add(k, now, now)
		return
	case e.state == Granted:
		q.endGrant(e, now)
		q.discardDecisions(e)
	default:
		q.removeWaiting(e)
		q.ended.add(k, now, now)
	}
	q.stats.Canceled++
}

// TakeDecisions returns the new decisions on requests that waited, and the time until the next call; 0 if
// nothing is pending.
func (q *Queue) TakeDecisions() (replies []Decision, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.advance(now)
	q.grantWaiting(now)
	replies, q.decisions = q.decisions, nil
	return replies, q.timeToNextCall(now)
}

// timeToNextCall returns the time until the decisions must be fetched again.
func (q *Queue) timeToNextCall(now time.Time) time.Duration {
	if len(q.entries) == 0 {
		return 0
	}
	next := q.lastCheck.Add(checkInterval)
	if q.waitingCount() == 0 {
		next = q.earliestLeaseExpiry()
	}
	return max(next.Sub(now), time.Millisecond)
}

// checkRequests expires leases, forgets refused clients that did not retry, and refuses waiting
// requests that are not expected to be in time any more.
func (q *Queue) checkRequests(now time.Time) {
	q.lastCheck = now
	q.expireLeases(now)
	q.refused.expire(now)
	q.grantWaiting(now)
	q.refuseLate(now)
	q.removeIdle()
}

// Stop refuses the waiting requests and all later ones.
func (q *Queue) Stop() []Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.stopped = true
	for _, e := range q.entries {
		if e.state == Waiting {
			q.refuseWaiting(e, Stopped, stopRetryAfter, now)
		}
	}
	replies := q.decisions
	q.decisions = nil
	return replies
}

// advance updates the estimates to now, and checks all requests if checkInterval has passed.
func (q *Queue) advance(now time.Time) {
	q.rate.advance(q.waitingCount() > 0, now)
	q.refresh(now)
	if now.Sub(q.lastCheck) >= checkInterval {
		q.checkRequests(now)
	}
}

// waitingCount returns how many requests wait.
func (q *Queue) waitingCount() int {
	n := 0
	for _, l := range q.levels {
		n += l.waiting
	}
	return n
}
