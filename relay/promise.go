package relay

import (
	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/httphead"
	"peridotusher.example/peridotusher/replicas"
)

// reasonReplaced is the reason of an answer that takes the place of a replica's, as it is logged and
// counted.
const reasonReplaced = "replaced"

// recordFailure records the failure of the latest attempt and whether the request may have run there.
func (t *task) recordFailure(failure *peridotusher.Failure) {
	t.failure = failure
	t.recordVerdict(failure.Verdict())
}

// recordVerdict records whether a replica may have run the request. Once one may have, no later attempt
// at another replica changes that.
func (t *task) recordVerdict(v peridotusher.Verdict) {
	t.mayHaveRun = t.mayHaveRun || v != peridotusher.NotRun
}

// isFalsePromise reports whether a status would promise the client that a request has not run which may
// have run and must not be repeated. A client may repeat a retryable request after any status.
func (t *task) isFalsePromise(status int) bool {
	return t.mayHaveRun && !t.route.Retryable() && httphead.PromisesNotRun(status)
}

// failedReason returns why the request is not sent to another replica, as it is answered and logged.
func (t *task) failedReason() string {
	if t.replaced {
		return reasonReplaced
	}
	return "failed"
}

// recordReplaced records that the client gets an answer of the router's own, since the status of the
// replica's would be a false promise.
func (t *task) recordReplaced(x *exchange) {
	t.replaced = true
	t.grant.recordAnswer(answerOutcome(x.resp.StatusCode) == replicas.Failed)
	t.proxy.Metrics.countReplaced(t.routeName(), x.resp.StatusCode)
}
