package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

const (
	// longestRequest bounds a request whose route and client set no limit.
	longestRequest = 10 * time.Minute
	// unsentTries is the number of replicas tried without having sent anything.
	unsentTries = 4
	// retryUnready, retryBusy, retryFailed and retryStopping are the times after
	// which a refused client may retry; after the last one at another router.
	retryUnready  = 500 * time.Millisecond
	retryBusy     = 300 * time.Millisecond
	retryFailed   = 100 * time.Millisecond
	retryStopping = 100 * time.Millisecond
)

// task is one request of a client on its way through the router.
type task struct {
	front  *Front
	w      http.ResponseWriter
	r      *http.Request
	call   Call
	began  time.Time
	client *clientConn // connection of the client; nil if no answers are held for it

	// The request as configured and read; set before the first attempt.
	doc          *routing.Document
	route        *routing.Route
	organisation *routing.Organisation
	serviceName  string
	regions      [][]string // the replica's region has to be in each of the lists
	until        time.Time  // deadline
	body         []byte
	framed       bool // whether the client sent a body, even an empty one
	reserved     int64

	// Attempts and the retry budget.
	arrivals   int             // replicas that got the request, also those that refused it
	sends      int             // arrivals that count against the route's attempts
	unsent     int             // replicas that could not be reached
	mayHaveRun bool            // whether a replica may have run the request
	paid       bool            // whether the budget has been charged for the next attempt
	prepaid    bool            // whether it was charged while the replica could still answer
	tried      map[string]bool // ids of replicas not to be tried again
	failure    *peridotusher.Failure

	// The latest choice of a replica, and why there was none.
	full       bool // whether all replicas had as much as they can run
	backingOff bool // whether all replicas have asked for a backoff
	choice     placing.Choice
	candidate  placing.Candidate // the chosen replica as it was known then
	load       int               // requests at the chosen replica when it was chosen
	cold       coldState

	// Shared parts of the prompt.
	queriedHolders bool // whether another router was asked for the holders of the longest part
	cacheHolders   []placing.CacheHolder
	holders        []uint32      // of the longest part, as far as is known
	source         string        // address of a replica that holds shared parts
	reading        func()        // ends the replica's read of the longest part
	waited         time.Duration // for another request's read of that part

	// Shared admission.
	grant      *grant        // nil if the replica was not chosen by a coordinator
	queued     time.Duration // for coordinators' decisions
	retryAfter time.Duration // set by a coordinator that refused; 0 otherwise

	// Times, for the log and the counters.
	ready time.Time     // when the request was read and admitted
	sent  time.Time     // start of the latest attempt
	spent time.Duration // on attempts that failed
	own   time.Duration // the router's own time until the latest attempt

	// The answer.
	started bool          // whether its head was written
	last    string        // id of the last event that the client got
	pause   time.Duration // longest pause between two events of a replica
}

// run sends the request to replicas until one answers, and passes the answer on.
func (t *task) run() {
	f := t.front
	ctx, cancel := context.WithTimeout(t.r.Context(), t.until.Sub(f.Clock.Now()))
	defer cancel()
	t.ready = f.Clock.Now()
	t.serviceName = t.service()
	t.cold.limited = f.SlowStart.Limits(t.serviceName)
	t.regions = t.regionLimits()
	t.tried = make(map[string]bool, 2)
	f.Budget.Request(t.serviceName)
	organisation := ""
	if t.organisation != nil {
		organisation = t.organisation.Name
	}
	defer f.Gate.Begin(organisation)()
	for {
		r, ok := t.next(ctx)
		if !ok {
			t.giveUp(ctx, t.whyNone())
			return
		}
		if t.try(ctx, r) {
			return
		}
		if ctx.Err() != nil {
			t.giveUp(ctx, "deadline")
			return
		}
		if !t.mayTryAgain() {
			t.giveUp(ctx, "failed")
			return
		}
	}
}

// mayTryAgain decides after a failed attempt whether another replica is tried, and
// charges the budget if so.
func (t *task) mayTryAgain() bool {
	if t.unsent >= unsentTries {
		return false
	}
	if t.arrivals == 0 || t.paid {
		return true
	}
	if t.mayHaveRun && !t.route.Retryable() {
		return false
	}
	if t.sends >= max(t.route.MaxAttempts, 1) {
		return false
	}
	if t.prepaid {
		t.prepaid, t.paid = false, true
		return true
	}
	t.paid = t.chargeRetry()
	return t.paid
}

// chargeRetry charges the retry budget for one more attempt and reports whether it allows it.
func (t *task) chargeRetry() bool {
	ok := t.front.Budget.Retry(t.serviceName, t.front.Routers())
	t.front.Metrics.repeated(t.routeName(), ok)
	return ok
}

// giveUpReplica decides whether a replica whose answer has stalled is given up: only if
// another one can be tried, for which the budget is charged. Otherwise the replica's
// answer, however late, is the only one that the client can get.
func (t *task) giveUpReplica() bool {
	if t.prepaid && !t.cold.limited {
		return true
	}
	if len(t.others()) == 0 {
		return false
	}
	if !t.prepaid {
		t.prepaid = t.chargeRetry()
	}
	return t.prepaid
}

// mayRepeat reports whether a request that has failed at a replica will be sent
// to another one, so that the present answer need not be passed on.
func (t *task) mayRepeat() bool {
	return t.route.Retryable() && len(t.others()) > 0 && t.mayTryAgain()
}

// others returns the untried replicas that may be sent to without a share: those that accept
// requests and are warm.
func (t *task) others() []*replicas.Replica {
	now := t.front.Clock.Now()
	return t.warm(now, replicas.Accepting(now, t.untried()))
}

// untried returns the ready replicas that the request may reach and has not been sent to.
func (t *task) untried() []*replicas.Replica {
	all := t.reachable(t.front.Table.Ready(t.serviceName))
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

// try sends the request to one replica and reports whether the client has its
// final answer.
func (t *task) try(ctx context.Context, r *replicas.Replica) bool {
	f := t.front
	t.tried[r.ID()] = true
	defer t.releaseGrant()
	release := r.Acquire()
	defer release()
	defer t.occupy(r, t.choice.Reason == placing.ReasonHolder)()
	t.waited += t.awaitRead(ctx, r)
	sent := f.Clock.Now()
	t.sent = sent
	if r.BackingOff(sent) > 0 || f.Table.Evacuated(r.Zone()) {
		return false // it has changed since the choice
	}
	defer t.beginRead(r)()
	t.own = sent.Sub(t.ready) - t.spent - t.waited - t.queued
	t.grant.markSent(sent)
	defer func() { t.spent += f.Clock.Now().Sub(sent) }()
	x, failure := send(ctx, f.Pool, r, t.outgoing(r, sent), f.Dialect)
	if failure != nil && errors.Is(failure, errNoShare) {
		t.shareRefused(r)
		return false
	}
	if failure != nil {
		t.sendFailed(ctx, r, failure)
		return false
	}
	defer x.abort()
	t.arrived()
	return t.answer(ctx, x, sent)
}

// arrived counts a request that a replica got.
func (t *task) arrived() {
	t.arrivals++
	t.sends++
	t.paid = false
}

// sendFailed records why no answer came.
func (t *task) sendFailed(ctx context.Context, r *replicas.Replica, failure *peridotusher.Failure) {
	f := t.front
	t.failure = failure
	if failure.Verdict() == peridotusher.NotRun {
		t.unsent++
	} else {
		t.arrived()
		t.mayHaveRun = true
	}
	f.Log.Event("try", "id", t.call.ID, "replica", r.ID(), "verdict", failure.Verdict(), "cause", failure.Cause(), "error", failure)
	switch {
	case t.r.Context().Err() != nil: // the client left
	case failure.Verdict() != peridotusher.NotRun:
		r.Record(f.Clock.Now(), replicas.Failed)
	case ctx.Err() == nil:
		f.markUnreachable(r)
	}
}

// firstWait returns how long a replica may take for the head of its answer
// before another one is asked; 0 means as long as the request has.
func (t *task) firstWait() time.Duration {
	if !t.route.Retryable() || t.sends+1 >= t.route.MaxAttempts || t.route.Objective <= 0 || len(t.others()) == 0 {
		return 0
	}
	if t.route.Kind == routing.Streaming {
		return t.route.Objective
	}
	return t.route.Objective * 6 / 10
}

// outgoing builds the request for the replica.
func (t *task) outgoing(r *replicas.Replica, now time.Time) outgoing {
	f := t.front
	h := passedOn(t.r.Header, f.Dialect.Own)
	f.Dialect.Strip(h)
	s := Send{Replica: r.ID(), Left: t.until.Sub(now), Urgency: t.urgency(), After: t.last, Source: t.source}
	if t.organisation != nil {
		s.Organisation = t.organisation.Name
	}
	f.Dialect.Sent(h, s)
	return outgoing{
		id: t.call.ID, method: t.r.Method, target: t.r.RequestURI, host: t.r.Host,
		header: h, body: t.body, framed: t.framed, once: !t.route.Retryable(),
		wait: t.firstWait(), giveUp: t.giveUpReplica,
		take: func() (func(), bool) { return t.takeShare(r) },
	}
}

// urgency maps the priority of the organisation or route to the engines' scale.
func (t *task) urgency() int {
	const first, step, last = 2, 2, 9
	return min(first+step*t.priority(), last)
}

// priority returns the rank of the request: the organisation's if it has one.
func (t *task) priority() int {
	if t.organisation != nil && t.organisation.Priority != nil {
		return *t.organisation.Priority
	}
	return t.route.Priority
}
