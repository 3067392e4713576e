package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/httphead"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

const (
	// defaultRequestTimeout is the timeout of a request for which neither the route nor the
	// client sets one.
	defaultRequestTimeout = 10 * time.Minute
	// maxUnsentAttempts limits the attempts that fail before anything was sent to the replica.
	maxUnsentAttempts = 4
	// A refused client may retry after these times; after retryAfterStopping at another router.
	retryAfterUnready  = 500 * time.Millisecond
	retryAfterBusy     = 300 * time.Millisecond
	retryAfterFailed   = 100 * time.Millisecond
	retryAfterStopping = 100 * time.Millisecond
)

// task is the handling of one client request by the router.
type task struct {
	proxy  *Proxy
	w      http.ResponseWriter
	r      *http.Request
	call   Call
	began  time.Time
	client *clientConn // connection of the client; nil if answers to it are not buffered

	// The configuration that applies and the request body; set before the first attempt.
	doc            *routing.Document
	route          *routing.Route
	organisation   *routing.Organisation
	serviceName    string
	allowedRegions []routing.RegionLimit // the replica's region must be allowed by all of them
	deadline       time.Time
	body           []byte
	hasBody        bool  // whether the client sent a body, even an empty one
	reservedBytes  int64 // bytes reserved for the body

	// Attempts and the retry budget.
	arrivals        int                   // replicas that received the request, even if they refused it
	sends           int                   // arrivals that count towards the route's limit of attempts
	unsent          int                   // replicas that could not be reached
	mayHaveRun      bool                  // whether a replica may have run the request
	retryCharged    bool                  // whether the retry budget was charged for the next attempt
	retryPrecharged bool                  // whether it was charged while the current replica could still answer
	tried           map[string]bool       // ids of replicas that are not tried again
	failure         *peridotusher.Failure // of the latest failed attempt

	// The latest choice of a replica, or why none was found.
	allFull       bool // whether all replicas are at their load limits
	allBackingOff bool // whether all replicas have requested a backoff
	saturated     bool // whether few replicas have free capacity, so that all are candidates
	choice        placing.Choice
	candidate     placing.Candidate // the chosen replica as known at the time of the choice
	// candidateCount is the number of replicas that the choice was made from, chosenLoad the number of
	// requests at the chosen one at that time.
	candidateCount, chosenLoad int

	cold        coldState
	rateBlocked bool // whether all replicas that could serve are at their request rates

	partIDs []uint64 // cache of sharedPartIDs

	// Shared parts of the prompt; a holder is a replica that has the longest one cached.
	queriedHolders bool                  // whether another router was queried for them
	cacheHolders   []placing.CacheHolder // latest answer to that query
	holders        []uint32              // all known holders
	source         string                // address of a replica to fetch shared parts from
	endRead        func()                // ends the record of the replica's read of the part
	readWait       time.Duration         // time waited for another request's read of the part

	// Admission by a coordinator.
	grant         *grant        // nil if the replica was not chosen by a coordinator
	admissionWait time.Duration // time spent waiting for decisions of coordinators
	retryAfter    time.Duration // set by a coordinator's refusal; else 0

	// Times, for the log and the metrics.
	readyAt     time.Time     // when the request had been validated and read
	sentAt      time.Time     // start of the latest attempt
	attemptTime time.Duration // total time of the ended attempts
	ownTime     time.Duration // the router's own time until the latest attempt

	// The answer.
	headWritten  bool
	replaced     bool          // whether the replica's answer is replaced by one of the router's own
	lastEventID  string        // id of the last event forwarded to the client
	longestPause time.Duration // longest pause between two events of a replica
	partialBytes int           // bytes behind the last complete event when a replica's stream ended
}

// forward sends the request to replicas, one after the other, until one answers, and forwards the
// answer.
func (t *task) forward() {
	f := t.proxy
	ctx, cancel := context.WithTimeout(t.r.Context(), t.deadline.Sub(f.Clock.Now()))
	defer cancel()
	t.readyAt = f.Clock.Now()
	t.serviceName = t.pickService()
	t.cold.limited = f.SlowStart.Limits(t.serviceName)
	t.allowedRegions = t.regionLimits()
	t.tried = make(map[string]bool, 2)
	f.RetryBudget.Request(t.serviceName)
	organisation := ""
	if t.organisation != nil {
		organisation = t.organisation.Name
	}
	defer f.Gate.Begin(organisation)()
	if !t.admit(ctx) {
		return
	}
	for {
		r, ok := t.nextReplica(ctx)
		if !ok {
			t.answerUnserved(ctx, t.noReplicaReason())
			return
		}
		if t.attempt(ctx, r) {
			return
		}
		if ctx.Err() != nil {
			t.answerUnserved(ctx, "deadline")
			return
		}
		if left, blocked := t.quarantined(); blocked {
			t.answerQuarantined(ctx, left)
			return
		}
		if !t.allowNextAttempt() {
			t.answerUnserved(ctx, t.failedReason())
			return
		}
	}
}

// allowNextAttempt decides after a failed attempt whether another replica is tried. It charges
// the retry budget for that unless it has been charged before.
func (t *task) allowNextAttempt() bool {
	if t.unsent >= maxUnsentAttempts {
		return false
	}
	if t.arrivals == 0 || t.retryCharged {
		return true
	}
	if t.mayHaveRun && !t.route.Retryable() || !t.canContinue() {
		return false
	}
	if t.sends >= max(t.route.MaxAttempts, 1) {
		return false
	}
	if t.retryPrecharged {
		t.retryPrecharged, t.retryCharged = false, true
		return true
	}
	t.retryCharged = t.chargeRetry()
	return t.retryCharged
}

// canContinue reports whether another replica can continue what the client has of the answer.
func (t *task) canContinue() bool { return !t.headWritten || t.lastEventID != "" }

// chargeRetry charges the retry budget for one more attempt and reports whether the budget allows
// it.
func (t *task) chargeRetry() bool {
	ok := t.proxy.RetryBudget.Retry(t.serviceName, t.proxy.Routers())
	t.proxy.Metrics.countRetryDecision(t.routeName(), ok)
	return ok
}

// shouldAbandonReplica decides whether to abandon a replica whose answer is delayed: only if
// another replica can be tried, for which the retry budget is charged. Otherwise the delayed
// answer is the only one that the client can get.
func (t *task) shouldAbandonReplica() bool {
	if t.retryPrecharged && !t.cold.limited {
		return true
	}
	if len(t.retryCandidates()) == 0 {
		return false
	}
	if !t.retryPrecharged {
		t.retryPrecharged = t.chargeRetry()
	}
	return t.retryPrecharged
}

// willRetry reports whether the request, which failed at a replica, will be sent to another one,
// so that the failed answer need not be forwarded. It may charge the retry budget.
func (t *task) willRetry() bool {
	return t.route.Retryable() && len(t.retryCandidates()) > 0 && t.allowNextAttempt()
}

// retryCandidates returns the remaining candidates that accept requests, are within their request
// rates and are warm, so that sending to them requires no share of a cold replica's limit. There
// are none if the request is quarantined.
func (t *task) retryCandidates() []*replicas.Replica {
	if _, blocked := t.quarantined(); blocked {
		return nil
	}
	now := t.proxy.Clock.Now()
	return t.withinRate(t.warm(now, replicas.Accepting(now, t.remainingCandidates())))
}

// remainingCandidates returns the ready replicas in allowed regions that have not been tried.
func (t *task) remainingCandidates() []*replicas.Replica {
	all := t.allowedByRegion(t.proxy.Table.Ready(t.serviceName))
	if len(t.tried) == 0 {
		return all
	}
	kept := make([]*replicas.Replica, 0, len(all))
	for _, r := range all {
		if !t.tried[r.ID()] {
			kept = append(kept, r)
		}
	}
	return kept
}

// attempt sends the request to a replica and reports whether the client has its final answer.
func (t *task) attempt(ctx context.Context, r *replicas.Replica) bool {
	f := t.proxy
	t.tried[r.ID()] = true
	defer t.releaseGrant()
	release := r.Acquire()
	defer release()
	defer t.occupyTokens(r, t.choice.Reason == placing.ReasonHolder)()
	t.readWait += t.awaitRead(ctx, r)
	sent := f.Clock.Now()
	t.sentAt = sent
	if t.hasBecomeUnusable(r, sent) {
		return false
	}
	if _, blocked := t.quarantined(); blocked {
		return false // by a crash since then
	}
	defer t.beginRead(r)()
	t.ownTime = sent.Sub(t.readyAt) - t.attemptTime - t.readWait - t.admissionWait
	t.grant.markSent(sent)
	defer func() { t.attemptTime += f.Clock.Now().Sub(sent) }()
	x, failure := send(ctx, f.Pool, r, t.outgoing(r, sent), f.Dialect)
	if failure != nil && errors.Is(failure, errShareRefused) {
		t.recordShareRefusal(r)
		return false
	}
	if failure != nil {
		t.recordSendFailure(ctx, r, failure)
		return false
	}
	defer x.abort()
	t.countArrival()
	return t.handleAnswer(ctx, x, sent)
}

// hasBecomeUnusable reports whether the replica has changed since it was chosen so that the request
// must not be sent to it. One that is leaving still gets it if there is no other.
func (t *task) hasBecomeUnusable(r *replicas.Replica, now time.Time) bool {
	f := t.proxy
	if r.BackoffRemaining(now) > 0 || f.Table.Evacuated(r.Zone()) {
		return true
	}
	return f.leavingFor(r) > 0 && len(t.remainingCandidates()) > 0
}

// countArrival counts a replica that received the request.
func (t *task) countArrival() {
	t.arrivals++
	t.sends++
	t.retryCharged = false
}

// recordSendFailure records an attempt that failed before the head of an answer arrived.
func (t *task) recordSendFailure(ctx context.Context, r *replicas.Replica, failure *peridotusher.Failure) {
	f := t.proxy
	t.recordFailure(failure)
	if failure.Verdict() == peridotusher.NotRun {
		t.unsent++
	} else {
		t.countArrival()
	}
	t.logAttempt(r, failure.Verdict(), "cause", failure.Cause(), "parts", quarantine.FormatParts(t.sharedPartIDs()), "error", failure)
	switch {
	case t.r.Context().Err() != nil: // the client disconnected, which is no fault of the replica
	case errors.Is(failure, httphead.ErrMalformed):
		f.Metrics.countMalformedAnswer()
		r.Record(f.Clock.Now(), replicas.Failed)
	case failure.Verdict() != peridotusher.NotRun:
		r.Record(f.Clock.Now(), replicas.Failed)
		t.recordIfCrashed(ctx, r, failure)
	case ctx.Err() == nil:
		f.markUnreachable(r)
	}
}

// logAttempt logs an attempt whose answer the client does not get, with what is known of it beside the
// verdict.
func (t *task) logAttempt(r *replicas.Replica, v peridotusher.Verdict, fields ...any) {
	t.proxy.Log.Event("try", append([]any{"id", t.call.ID, "replica", r.ID(), "verdict", v}, fields...)...)
}

// headTimeout returns how long a replica may take for the head of its answer before another one
// is tried; 0 means until the request's deadline.
func (t *task) headTimeout() time.Duration {
	if !t.route.Retryable() || t.sends+1 >= t.route.MaxAttempts || t.route.Objective <= 0 || len(t.retryCandidates()) == 0 {
		return 0
	}
	if t.route.Kind == routing.Streaming {
		return t.route.Objective
	}
	return t.route.Objective * 6 / 10
}

// outgoing builds the request for the replica.
func (t *task) outgoing(r *replicas.Replica, now time.Time) outgoing {
	f := t.proxy
	h := forwardableHeaders(t.r.Header, f.Dialect.IsPlatformHeader)
	f.Dialect.StripRouterHeaders(h)
	s := RouterHeaders{Replica: r.ID(), TimeLeft: t.deadline.Sub(now), Urgency: t.urgency(), LastEventID: t.lastEventID, Source: t.source}
	if t.organisation != nil {
		s.Organisation = t.organisation.Name
	}
	f.Dialect.SetRouterHeaders(h, s)
	return outgoing{
		id: t.call.ID, method: t.r.Method, target: t.r.RequestURI, host: t.r.Host,
		header: h, body: t.body, hasBody: t.hasBody, notRepeatable: !t.route.Retryable(),
		headTimeout: t.headTimeout(), shouldAbandon: t.shouldAbandonReplica,
		takeShare: func() (func(), bool) { return t.takeShare(r) },
	}
}

// urgency maps the priority of the request to the engines' scale.
func (t *task) urgency() int {
	const first, step, last = 2, 2, 9
	return min(first+step*t.priority(), last)
}

// priority returns the priority of the organisation if it has one, else that of the route.
func (t *task) priority() int {
	if t.organisation != nil && t.organisation.Priority != nil {
		return *t.organisation.Priority
	}
	return t.route.Priority
}
