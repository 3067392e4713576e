package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

const (
	// wholeAnswer is the largest answer in bytes that is read before it is
	// passed on, so that a cut one can be asked for again.
	wholeAnswer = 64 << 10
	// longestError is the size in bytes up to which an answer of an error is passed on.
	longestError = 1 << 20
	// wholeLeast is the least time that such an answer may take after its head before
	// another replica is asked.
	wholeLeast = 500 * time.Millisecond
)

// answer passes the replica's answer on and reports whether the client has its
// final answer.
func (t *task) answer(ctx context.Context, x *exchange, sent time.Time) bool {
	f := t.front
	t.applyLoad(x)
	t.grant.recordLoad(x.reply)
	t.applyReply(x)
	if x.reply.NotRun || x.reply.Misdirected {
		return t.notRun(x)
	}
	if x.resp.StatusCode < http.StatusMultipleChoices && !x.reply.Signed {
		t.recordFault(x, "an answer without a signature")
		return false
	}
	if t.route.Kind == routing.Streaming && x.resp.StatusCode == http.StatusOK {
		return t.passStream(ctx, x, sent)
	}
	if t.started {
		t.recordFault(x, "status %d instead of the remaining stream", x.resp.StatusCode)
		return false
	}
	return t.passWhole(ctx, x, f.Clock.Now().Sub(sent))
}

// applyReply applies what an answer reports of the replica besides its load. A misdirected
// answer is from another replica at the address and is ignored.
func (t *task) applyReply(x *exchange) {
	f, r := t.front, x.replica
	if x.reply.Misdirected {
		return
	}
	if x.reply.Leaving {
		f.MarkLeaving(r, t.call.ID)
	}
	t.applyCold(x)
	switch {
	case x.reply.Backoff > 0:
		now := f.Clock.Now()
		f.Log.Event("backoff", "id", t.call.ID, "replica", r.ID(), "asked", x.reply.Backoff, "for", r.Backoff(now, x.reply.Backoff).Sub(now))
		f.Metrics.backedOff()
	case x.reply.Backoff == BackoffUnreadable:
		f.Log.Event("backoff", "id", t.call.ID, "replica", r.ID(), "error", "the time cannot be read")
	}
}

// notRun handles a replica that promises not to have run the request.
func (t *task) notRun(x *exchange) bool {
	x.drain()
	if x.reply.Misdirected {
		t.sends-- // another replica has the address; the one that was meant got nothing
		x.replica.Record(t.front.Clock.Now(), replicas.Misdirected)
	} else {
		t.grant.recordShed()
	}
	t.front.Log.Event("try", "id", t.call.ID, "replica", x.replica.ID(), "verdict", peridotusher.NotRun, "status", x.resp.StatusCode)
	t.failure = peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseOverloaded, "the replica refused with status %d", x.resp.StatusCode)
	return false
}

// recordFault records an answer that is not what a healthy replica sends.
func (t *task) recordFault(x *exchange, format string, args ...any) {
	t.mayHaveRun = true
	t.failure = peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, format, args...)
	t.front.Log.Event("try", "id", t.call.ID, "replica", x.replica.ID(), "verdict", peridotusher.MayHaveRun, "error", t.failure)
	x.replica.Record(t.front.Clock.Now(), replicas.Failed)
}

// passWhole passes on an answer that is no stream.
func (t *task) passWhole(ctx context.Context, x *exchange, took time.Duration) bool {
	failed := x.resp.StatusCode >= http.StatusInternalServerError
	if failed {
		t.mayHaveRun = true
		if t.mayRepeat() {
			t.passOver(x)
			return false
		}
	}
	body, rest, err := t.readWhole(x)
	if err != nil {
		t.mayHaveRun = true
		if ctx.Err() == nil {
			t.recordFault(x, "the answer was cut after %d bytes: %v", body.length(), err)
		}
		return false
	}
	if failed && rest && !errorEnds(x.resp) {
		t.recordFault(x, "an error answer without end")
		return false
	}
	outcome := replicas.Good
	if failed {
		outcome = replicas.Failed
	}
	t.head(x.resp, x.resp.ContentLength)
	if !rest {
		x.finish()
		x.replica.Record(t.front.Clock.Now(), outcome)
		if err := body.writeTo(t.w); err != nil {
			t.front.Log.Event("client", "id", t.call.ID, "error", err)
		}
		t.done(x, took)
		return true
	}
	t.passRest(&body, x)
	x.replica.Record(t.front.Clock.Now(), outcome)
	t.done(x, took)
	return true
}

// errorEnds reports whether a long error answer says where it ends, and that is soon.
func errorEnds(resp *http.Response) bool {
	return resp.ContentLength >= 0 && resp.ContentLength <= longestError
}

// passOver discards the answer of a replica that failed, since another one will be tried.
func (t *task) passOver(x *exchange) {
	x.drain()
	x.replica.Record(t.front.Clock.Now(), replicas.Failed)
	t.failure = peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, "the replica failed with status %d", x.resp.StatusCode)
	t.front.Log.Event("try", "id", t.call.ID, "replica", x.replica.ID(), "verdict", peridotusher.Ran, "status", x.resp.StatusCode)
}

// readWhole reads the body of an answer as far as it is read before it is passed on. It
// has to come in time if another replica can still be asked.
func (t *task) readWhole(x *exchange) (body heldBytes, rest bool, err error) {
	limit := time.Duration(0)
	if t.route.Retryable() && t.sends < t.route.MaxAttempts && len(t.others()) > 0 {
		limit = max(t.route.Objective, wholeLeast)
	}
	if err := x.conn.wait(limit, t.giveUpReplica); err != nil {
		return body, false, err
	}
	body, rest, err = readUpTo(x.resp.Body, wholeAnswer)
	if err != nil {
		return body, rest, err
	}
	return body, rest, x.conn.wait(0, nil)
}

// passRest passes on an answer too long to be held. One that does not end by the
// request's deadline is the replica's fault.
func (t *task) passRest(body *heldBytes, x *exchange) {
	if err := body.writeTo(t.w); err != nil {
		t.cut("client", err)
	}
	buffer := blockPool.Get().(*block)
	defer blockPool.Put(buffer)
	buf := buffer.data[:]
	for {
		n, err := x.resp.Body.Read(buf)
		if _, failed := t.w.Write(buf[:n]); failed != nil {
			t.cut("client", failed)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			x.replica.Record(t.front.Clock.Now(), replicas.Failed)
			t.cut("copy", err)
		}
	}
	x.finish()
}

// cut ends the client's connection, so that the answer does not look complete.
func (t *task) cut(kind string, err error) {
	if !errors.Is(err, errCutLogged) {
		t.front.Log.Event("cut", "id", t.call.ID, "route", t.routeName(), "at", kind, "error", err)
	}
	t.front.Metrics.cut(t.routeName())
	if kind != "client" {
		t.spend(false)
	}
	panic(http.ErrAbortHandler)
}

// readUpTo reads a body of at most limit bytes whole. rest reports that there is
// more.
func readUpTo(body io.Reader, limit int) (data heldBytes, rest bool, err error) {
	for n := 0; n < limit; {
		more, err := data.readFrom(body)
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

// head writes the head of a replica's answer.
func (t *task) head(resp *http.Response, length int64) {
	h := t.w.Header()
	for name, values := range passedOn(resp.Header, func(string) bool { return false }) {
		h[name] = values
	}
	if _, ok := resp.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from guessing one
	}
	if length >= 0 {
		h.Set("Content-Length", itoa(length))
	}
	t.w.WriteHeader(resp.StatusCode)
	t.started = true
}
