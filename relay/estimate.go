package relay

import (
	"net/http"
	"time"
)

// maxMalformedLog is the number of bytes of a malformed load that are logged.
const maxMalformedLog = 64

// applyLoad updates the replica's load and pace from an answer. A misdirected answer comes from
// another replica at the address and is ignored.
func (t *task) applyLoad(x *exchange) {
	if x.reply.Misdirected {
		return
	}
	if text := x.reply.MalformedLoad; text != "" && x.replica.MarkMalformedLoad() {
		t.proxy.Log.Event("malformed", "id", t.call.ID, "replica", x.replica.ID(), "load", text[:min(len(text), maxMalformedLog)])
	}
	if x.reply.Slots <= 0 {
		return
	}
	now := t.proxy.Clock.Now()
	x.replica.ReportLoad(now, x.reply.Running+x.reply.Waiting)
	x.replica.ReportPace(now, x.reply.Pace)
}

// learnTimes compares the time to the first byte with the expected one, and updates the estimate
// of how long requests of the service take. Failed requests are excluded.
func (t *task) learnTimes(x *exchange, first time.Duration) {
	if t.choice.Expected <= 0 || x.resp.StatusCode >= http.StatusMultipleChoices {
		return
	}
	f := t.proxy
	f.Metrics.recordEstimateError(t.serviceName, t.choice.Expected, first)
	total := f.Clock.Now().Sub(t.sentAt)
	f.usualTimes.Record(t.serviceName, t.choice.Estimate.Normalize(t.candidate, first, total))
}
