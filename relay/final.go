package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

// answerUnserved gives the final answer to a request that no replica answered: 503 if it
// certainly has not run, else 504 at the deadline and 502 before. If the client disconnected or
// the answer was begun, it aborts the connection instead.
func (t *task) answerUnserved(ctx context.Context, why string) {
	if t.r.Context().Err() != nil {
		if err := t.clientAbortError(); err != nil {
			t.abortAnswer("client", err)
		}
		t.proxy.Log.Event("left", "id", t.call.ID, "route", t.routeName(), "by", t.closedBy(), "sends", t.sends)
		t.proxy.Metrics.countAnswer(t.routeName(), "left", t.proxy.Clock.Now().Sub(t.began))
		panic(http.ErrAbortHandler)
	}
	if t.headWritten {
		t.abortAnswer(why, t.lastFailure())
	}
	if !t.mayHaveRun && t.cold.blocked {
		t.denyUntil(t.cold.wait, why)
		return
	}
	if !t.mayHaveRun && t.rateBlocked {
		t.refuseBeyondRate(why)
		return
	}
	if !t.mayHaveRun {
		t.refuse(http.StatusServiceUnavailable, why, t.clientRetryAfter())
		return
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	t.deny(status, why)
}

// clientAbortError returns the error for which the router itself aborted the client's connection,
// if it did.
func (t *task) clientAbortError() error {
	if t.client == nil {
		return nil
	}
	return t.client.buffer.abortError(t.client)
}

// closedBy returns which side closed the client's connection.
func (t *task) closedBy() string {
	if c := clientConnOf(t.r.Context()); c != nil && c.IsClosed() {
		return "router"
	}
	return "client"
}

// clientRetryAfter returns the time after which the client may retry.
func (t *task) clientRetryAfter() time.Duration {
	if t.retryAfter > 0 {
		return t.retryAfter
	}
	if t.allFull {
		return t.proxy.Gate.RecordRefusal(t.serviceName)
	}
	ready := t.allowedByRegion(t.proxy.Table.Ready(t.serviceName))
	if len(ready) == 0 {
		return retryAfterUnready
	}
	if t.allBackingOff {
		// The jitter in refuse subtracts up to a quarter, but no client may retry earlier.
		return max(replicas.EarliestRetry(t.proxy.Clock.Now(), ready)*4/3, retryAfterBusy)
	}
	if t.failure != nil && t.failure.Cause() == peridotusher.CauseOverloaded {
		return retryAfterBusy
	}
	return retryAfterFailed
}

// lastFailure returns the latest failure as an error, or nil.
func (t *task) lastFailure() error {
	if t.failure == nil {
		return nil
	}
	return t.failure
}

// refuse answers a request that has not run and will not run, with a Retry-After.
func (t *task) refuse(status int, why string, after time.Duration) {
	if t.retryAfter == 0 { // a coordinator expects the retry at exactly the time that it set
		after = jitter(after)
	}
	t.w.Header().Set("Retry-After", formatSeconds(after))
	t.deny(status, why)
}

// denyUntil refuses a request that has not run, and tells the client exactly when to retry.
func (t *task) denyUntil(after time.Duration, why string) {
	t.w.Header().Set("Retry-After", formatSeconds(roundUp(after, time.Millisecond)))
	t.deny(http.StatusServiceUnavailable, why)
}

// roundUp rounds a duration up to a multiple of a unit.
func roundUp(d, unit time.Duration) time.Duration { return (d + unit - 1) / unit * unit }

// deny gives a final answer of the router's own.
func (t *task) deny(status int, why string) {
	took := t.proxy.Clock.Now().Sub(t.began)
	t.proxy.Log.Event("denied", "id", t.call.ID, "route", t.routeName(), "status", status, "why", why,
		"sends", t.sends, "unsent", t.unsent, "version", t.version(), "took", took, "error", t.lastFailure())
	t.proxy.Metrics.countAnswer(t.routeName(), why, took)
	if countsAsBad(status) {
		t.recordOutcome(false)
	}
	h := t.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := why + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	t.writeStatus(status)
	if _, err := t.w.Write([]byte(text)); err != nil {
		t.proxy.Log.Event("client", "id", t.call.ID, "error", err)
	}
}

// recordAnswered logs and counts an answer that was forwarded completely. first is the time to its first
// byte or event.
func (t *task) recordAnswered(x *exchange, first time.Duration) {
	t.setConnEndsAnswer(false)
	took := t.proxy.Clock.Now().Sub(t.began)
	late := t.lateness(first)
	t.grant.recordAnswer(x.resp.StatusCode >= http.StatusInternalServerError)
	fields := []any{"id", t.call.ID, "route", t.routeName(), "status", x.resp.StatusCode,
		"replica", x.replica.ID(), "reason", t.choice.Reason, "held", t.chosenLoad, "mean", t.choice.MeanLoad, "candidates", t.candidateCount, "part", t.longestPartID(), "holders", len(t.holders), "source", t.source,
		"waited", t.readWait, "own", t.ownTime, "sends", t.sends, "version", t.version(), "framing", framing(x.resp), "partial", t.partialBytes, "first", first, "pause", t.longestPause, "late", late, "took", took}
	if t.choice.Expected > 0 {
		fields = append(fields, "expected", t.choice.Expected, "pace", t.candidate.Pace)
	}
	t.proxy.Log.Event("answered", fields...)
	t.proxy.Gate.RecordAnswer(t.serviceName, took)
	t.recordOutcome(x.resp.StatusCode < http.StatusInternalServerError && late == "")
	t.proxy.Metrics.countAnswer(t.routeName(), "answered", took)
	t.proxy.Metrics.countPlacement(t.routeName(), t.choice.Reason, t.partsOrigin())
	t.proxy.Metrics.recordOwnTime(t.routeName(), t.ownTime, t.readWait)
	t.learnTimes(x, first)
}

func (t *task) routeName() string {
	if t.route == nil {
		return ""
	}
	return t.route.Name
}

func (t *task) version() int64 {
	if t.doc == nil {
		return 0
	}
	return t.doc.Version
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// longestPartID returns the id of the longest shared part of the prompt as it is logged.
func (t *task) longestPartID() string {
	if len(t.call.Prompt) == 0 {
		return ""
	}
	shared := t.sharedParts()
	return strconv.FormatUint(shared[len(shared)-1].ID, 16)
}
