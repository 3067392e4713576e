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

// giveUp gives the final answer to a request that no replica answered: 503 if it
// certainly has not run, else 504 at the deadline and 502 before.
func (t *task) giveUp(ctx context.Context, why string) {
	if t.r.Context().Err() != nil {
		if err := t.cutForClient(); err != nil {
			t.cut("client", err)
		}
		t.front.Log.Event("left", "id", t.call.ID, "route", t.routeName(), "sends", t.sends)
		t.front.Metrics.answered(t.routeName(), "left", t.front.Clock.Now().Sub(t.began))
		panic(http.ErrAbortHandler)
	}
	if t.started {
		t.cut(why, t.reason())
	}
	if !t.mayHaveRun && t.cold.blocked {
		t.w.Header().Set("Retry-After", seconds(roundUp(t.cold.wait, time.Millisecond)))
		t.deny(http.StatusServiceUnavailable, why)
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

// cutForClient returns why the router itself ended the client's connection, if it did.
func (t *task) cutForClient() error {
	if t.client == nil {
		return nil
	}
	return t.client.answers.failure(t.client)
}

// clientRetryAfter returns the time after which the client may retry.
func (t *task) clientRetryAfter() time.Duration {
	if t.retryAfter > 0 {
		return t.retryAfter
	}
	if t.full {
		return t.front.Gate.RecordRefusal(t.serviceName)
	}
	ready := t.reachable(t.front.Table.Ready(t.serviceName))
	if len(ready) == 0 {
		return retryUnready
	}
	if t.backingOff {
		// The jitter of refuse takes off up to a quarter, and no client may retry earlier.
		return max(replicas.EarliestRetry(t.front.Clock.Now(), ready)*4/3, retryBusy)
	}
	if t.failure != nil && t.failure.Cause() == peridotusher.CauseOverloaded {
		return retryBusy
	}
	return retryFailed
}

// reason returns the last failure as an error.
func (t *task) reason() error {
	if t.failure == nil {
		return nil
	}
	return t.failure
}

// refuse answers a request that has not run and never will, with a Retry-After.
func (t *task) refuse(status int, why string, after time.Duration) {
	if t.retryAfter == 0 { // a coordinator expects the retry at the time that it gave
		after = jitter(after)
	}
	t.w.Header().Set("Retry-After", seconds(after))
	t.deny(status, why)
}

// roundUp rounds a duration up to a multiple of a unit.
func roundUp(d, unit time.Duration) time.Duration { return (d + unit - 1) / unit * unit }

// deny gives a final answer of the router's own.
func (t *task) deny(status int, why string) {
	took := t.front.Clock.Now().Sub(t.began)
	t.front.Log.Event("denied", "id", t.call.ID, "route", t.routeName(), "status", status, "why", why,
		"sends", t.sends, "unsent", t.unsent, "version", t.version(), "took", took, "error", t.reason())
	t.front.Metrics.answered(t.routeName(), why, took)
	if routersFault(status) {
		t.spend(false)
	}
	h := t.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := why + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	t.w.WriteHeader(status)
	if _, err := t.w.Write([]byte(text)); err != nil {
		t.front.Log.Event("client", "id", t.call.ID, "error", err)
	}
}

// done logs and counts an answer that was passed on.
func (t *task) done(x *exchange, first time.Duration) {
	took := t.front.Clock.Now().Sub(t.began)
	late := t.lateness(first)
	t.grant.recordAnswer(x.resp.StatusCode >= http.StatusInternalServerError)
	fields := []any{"id", t.call.ID, "route", t.routeName(), "status", x.resp.StatusCode,
		"replica", x.replica.ID(), "reason", t.choice.Reason, "held", t.load, "mean", t.choice.MeanLoad, "part", t.part(), "holders", len(t.holders), "source", t.source,
		"waited", t.waited, "own", t.own, "sends", t.sends, "version", t.version(), "first", first, "pause", t.pause, "late", late, "took", took}
	if t.choice.Expected > 0 {
		fields = append(fields, "expected", t.choice.Expected, "pace", t.candidate.Pace)
	}
	t.front.Log.Event("answered", fields...)
	t.front.Gate.RecordAnswer(t.serviceName, took)
	t.spend(x.resp.StatusCode < http.StatusInternalServerError && late == "")
	t.front.Metrics.answered(t.routeName(), "answered", took)
	t.front.Metrics.placed(t.routeName(), t.choice.Reason, t.partsHow())
	t.front.Metrics.own(t.routeName(), t.own, t.waited)
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

// part names the longest shared part of the prompt, as the log shows it.
func (t *task) part() string {
	if len(t.call.Prompt) == 0 {
		return ""
	}
	shared := t.sharedParts()
	return strconv.FormatUint(shared[len(shared)-1].ID, 16)
}
