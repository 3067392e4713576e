package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/blocks"
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

const (
	// maxBufferedAnswer is the number of bytes of an answer that are read before the answer is
	// forwarded, so that the request can be retried if the answer breaks off before.
	maxBufferedAnswer = 64 << 10
	// maxErrorAnswer is the largest error answer in bytes that is forwarded.
	maxErrorAnswer = 1 << 20
	// minBodyTimeout is the minimum time that the body of such an answer may take before another
	// replica is tried.
	minBodyTimeout = 500 * time.Millisecond
)

// handleAnswer processes the replica's answer and reports whether the client has its final
// answer.
func (t *task) handleAnswer(ctx context.Context, x *exchange, sent time.Time) bool {
	f := t.proxy
	t.applyLoad(x)
	t.grant.recordLoad(x.reply)
	t.applyReply(x)
	t.recordVerdict(x.reply.Verdict())
	if x.reply.NotRun || x.reply.Misdirected {
		return t.handleRefusal(x)
	}
	if x.resp.StatusCode < http.StatusMultipleChoices && !x.reply.Signed {
		t.recordFault(x, "an answer without a signature")
		return false
	}
	if t.route.Kind == routing.Streaming && isEventStream(x.resp) {
		return t.forwardStream(ctx, x, sent)
	}
	if t.headWritten {
		t.recordFault(x, "status %d and type %q instead of the remaining stream", x.resp.StatusCode, x.resp.Header.Get("Content-Type"))
		return false
	}
	return t.forwardAnswer(ctx, x, f.Clock.Now().Sub(sent))
}

// applyReply updates the replica's state from what the answer reports besides the load. A
// misdirected answer comes from another replica at the address and is ignored.
func (t *task) applyReply(x *exchange) {
	f, r := t.proxy, x.replica
	if x.reply.Misdirected {
		return
	}
	if x.reply.Leaving {
		f.MarkLeaving(r, t.call.ID)
	}
	t.applyColdTime(x)
	t.recordRate(x)
	switch {
	case x.reply.Backoff > 0:
		now := f.Clock.Now()
		f.Log.Event("backoff", "id", t.call.ID, "replica", r.ID(), "asked", x.reply.Backoff, "for", r.Backoff(now, x.reply.Backoff).Sub(now))
		f.Metrics.countBackoff()
	case x.reply.Backoff == BackoffMalformed:
		f.Log.Event("backoff", "id", t.call.ID, "replica", r.ID(), "error", "the time cannot be read")
	}
}

// handleRefusal handles an answer by which the replica refuses the request.
func (t *task) handleRefusal(x *exchange) bool {
	x.drainBody()
	if x.reply.Misdirected {
		t.sends-- // another replica has the address; the intended one received nothing
		x.replica.Record(t.proxy.Clock.Now(), replicas.Misdirected)
	} else {
		t.grant.recordShed()
	}
	verdict := x.reply.Verdict()
	t.logAttempt(x.replica, verdict, "status", x.resp.StatusCode)
	t.recordFailure(peridotusher.Fail(verdict, peridotusher.CauseOverloaded, "the replica refused with status %d", x.resp.StatusCode))
	if t.isFalsePromise(x.resp.StatusCode) {
		t.recordReplaced(x)
	}
	return false
}

// recordFault records an answer that a healthy replica would not send.
func (t *task) recordFault(x *exchange, format string, args ...any) {
	t.recordFailure(peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, format, args...))
	t.logAttempt(x.replica, peridotusher.MayHaveRun, "parts", quarantine.FormatParts(t.sharedPartIDs()), "error", t.failure)
	x.replica.Record(t.proxy.Clock.Now(), replicas.Failed)
}

// forwardAnswer forwards an answer that is not a stream and reports whether the client has its
// final answer.
func (t *task) forwardAnswer(ctx context.Context, x *exchange, took time.Duration) bool {
	failed := x.resp.StatusCode >= http.StatusInternalServerError
	if failed && t.willRetry() {
		t.discardAnswer(x)
		return false
	}
	if t.isFalsePromise(x.resp.StatusCode) {
		t.discardAnswer(x)
		t.recordReplaced(x)
		return false
	}
	body, rest, err := t.readBeforeForwarding(ctx, x)
	if err != nil {
		if ctx.Err() == nil {
			t.recordFault(x, "the answer broke off after %d bytes: %v", body.Length(), err)
			if body.Length() == 0 {
				t.recordIfCrashed(ctx, x.replica, err)
			}
		}
		return false
	}
	if failed && rest && !isBoundedError(x.resp) {
		t.recordFault(x, "an error answer that is too long or does not end")
		return false
	}
	outcome := answerOutcome(x.resp.StatusCode)
	if !failed {
		t.recordBegun()
	}
	t.writeHead(x.resp, x.resp.ContentLength)
	if !rest {
		x.finish()
		x.replica.Record(t.proxy.Clock.Now(), outcome)
		if err := body.WriteAll(t.w); err != nil {
			t.proxy.Log.Event("client", "id", t.call.ID, "error", err)
		}
		t.recordAnswered(x, took)
		return true
	}
	t.forwardRest(ctx, &body, x)
	x.replica.Record(t.proxy.Clock.Now(), outcome)
	t.recordAnswered(x, took)
	return true
}

// isBoundedError reports whether an error answer has a length within maxErrorAnswer.
func isBoundedError(resp *http.Response) bool {
	return resp.ContentLength >= 0 && resp.ContentLength <= maxErrorAnswer
}

// answerOutcome returns how an answer to a request that has run counts for its replica.
func answerOutcome(status int) replicas.Outcome {
	if status >= http.StatusInternalServerError {
		return replicas.Failed
	}
	return replicas.Good
}

// discardAnswer discards the answer of a replica that ran the request, because the client does not get it.
func (t *task) discardAnswer(x *exchange) {
	x.drainBody()
	x.replica.Record(t.proxy.Clock.Now(), answerOutcome(x.resp.StatusCode))
	t.recordFailure(peridotusher.Fail(peridotusher.Ran, peridotusher.CauseEndpointError, "the replica ran the request and answered status %d", x.resp.StatusCode))
	t.logAttempt(x.replica, peridotusher.Ran, "status", x.resp.StatusCode)
}

// readBeforeForwarding reads the body up to maxBufferedAnswer; rest reports that there is more.
// The read has a time limit if another replica can be tried.
func (t *task) readBeforeForwarding(ctx context.Context, x *exchange) (body blocks.Queue, rest bool, err error) {
	limit := time.Duration(0)
	if t.route.Retryable() && t.sends < t.route.MaxAttempts && len(t.retryCandidates()) > 0 {
		limit = max(t.route.Objective, minBodyTimeout)
	}
	if err := x.conn.setReadTimeout(limit, t.shouldAbandonReplica); err != nil {
		return body, false, err
	}
	body, rest, err = readUpTo(x.resp.Body, maxBufferedAnswer)
	if err == nil && !rest && t.brokeOff(ctx, x, body.Length()) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return body, rest, err
	}
	return body, rest, x.conn.setReadTimeout(0, nil)
}

// brokeOff reports whether an answer that ended after length bytes has to be taken for one that broke
// off: it has neither length nor chunks, and it is a success without a body or the replica has ended.
func (t *task) brokeOff(ctx context.Context, x *exchange, length int) bool {
	if isDelimited(x.resp) || t.r.Method == http.MethodHead {
		return false
	}
	return length == 0 && x.resp.StatusCode < http.StatusMultipleChoices || t.brokeOffAtEnd(ctx, x)
}

// forwardRest forwards an answer that is larger than maxBufferedAnswer. If it does not end by the
// deadline, that counts as a failure of the replica.
func (t *task) forwardRest(ctx context.Context, body *blocks.Queue, x *exchange) {
	if err := body.WriteAll(t.w); err != nil {
		t.abortAnswer("client", err)
	}
	buf, release := blocks.Buffer()
	defer release()
	for {
		n, err := x.resp.Body.Read(buf)
		if _, writeErr := t.w.Write(buf[:n]); writeErr != nil {
			t.abortAnswer("client", writeErr)
		}
		if errors.Is(err, io.EOF) && t.brokeOffAtEnd(ctx, x) {
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			x.replica.Record(t.proxy.Clock.Now(), replicas.Failed)
			t.abortAnswer("copy", err)
		}
	}
	x.finish()
}

// abortAnswer aborts the client's connection, so that the answer does not look complete.
func (t *task) abortAnswer(kind string, err error) {
	if !errors.Is(err, errAlreadyLogged) {
		t.proxy.Log.Event("cut", "id", t.call.ID, "route", t.routeName(), "at", kind, "error", err)
	}
	t.proxy.Metrics.countAbortedAnswer(t.routeName())
	if kind != "client" {
		t.recordOutcome(false)
	}
	panic(http.ErrAbortHandler)
}

// readUpTo reads a body up to limit bytes, or to the end of the block in which the limit is
// reached; rest reports that there may be more.
func readUpTo(body io.Reader, limit int) (data blocks.Queue, rest bool, err error) {
	for n := 0; n < limit; {
		more, err := data.ReadOnce(body)
		n += more
		if errors.Is(err, io.EOF) {
			return data, false, nil
		}
		if err != nil {
			return data, false, err
		}
	}
	return data, true, nil
}

// writeHead writes the head of a replica's answer to the client.
func (t *task) writeHead(resp *http.Response, length int64) {
	h := t.w.Header()
	for name, values := range forwardableHeaders(resp.Header, func(string) bool { return false }) {
		h[name] = values
	}
	if _, ok := resp.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from detecting one
	}
	if length >= 0 {
		h.Set("Content-Length", itoa(length))
	}
	if length < 0 && !t.r.ProtoAtLeast(1, 1) { // no chunks in HTTP/1.0
		t.setConnEndsAnswer(true)
	}
	t.writeStatus(resp.StatusCode)
	t.headWritten = true
}

// writeStatus writes the status and the headers that are set. If the router is stopping, they announce the end
// of the connection.
func (t *task) writeStatus(status int) {
	if t.proxy.stopping() {
		announceClose(t.w.Header())
	}
	t.w.WriteHeader(status)
}

// setConnEndsAnswer sets whether the end of the client's connection would end an incomplete
// answer.
func (t *task) setConnEndsAnswer(ends bool) {
	if c := clientConnOf(t.r.Context()); c != nil {
		c.endsAnswer.Store(ends)
	}
}
