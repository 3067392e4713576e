package relay

import (
	"net/http"
	"time"
)

// malformedMost bounds the bytes of a malformed load in the log.
const malformedMost = 64

// applyLoad applies the load and pace in an answer to the replica. A misdirected answer is
// from another replica at the address and is ignored.
func (t *task) applyLoad(x *exchange) {
	if x.reply.Misdirected {
		return
	}
	if text := x.reply.MalformedLoad; text != "" && x.replica.MarkMalformedLoad() {
		t.front.Log.Event("malformed", "id", t.call.ID, "replica", x.replica.ID(), "load", text[:min(len(text), malformedMost)])
	}
	if x.reply.Slots <= 0 {
		return
	}
	now := t.front.Clock.Now()
	x.replica.ReportLoad(now, x.reply.Running+x.reply.Waiting)
	x.replica.ReportPace(now, x.reply.Pace)
}

// learnTimes compares the time until the first byte with the expected one, and updates the
// estimate of how long requests of the service take. Failed requests are left out.
func (t *task) learnTimes(x *exchange, first time.Duration) {
	if t.choice.Expected <= 0 || x.resp.StatusCode >= http.StatusMultipleChoices {
		return
	}
	f := t.front
	f.Metrics.estimated(t.serviceName, t.choice.Expected, first)
	whole := f.Clock.Now().Sub(t.sent)
	f.usual.Record(t.serviceName, t.choice.Estimate.Normalize(t.candidate, first, whole))
}
