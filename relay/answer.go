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
	// copyBuffer is the size of the buffer of longer answers, in bytes.
	copyBuffer = 16 << 10
)

// answer passes the replica's answer on and reports whether the client has its
// final answer.
func (t *task) answer(ctx context.Context, x *exchange, sent time.Time) bool {
	f := t.front
	if x.reply.Slots > 0 && !x.reply.Misdirected {
		x.replica.Told(f.Clock.Now(), x.reply.Running+x.reply.Waiting)
	}
	if x.reply.NotRun || x.reply.Misdirected {
		return t.notRun(x)
	}
	if x.resp.StatusCode < http.StatusMultipleChoices && !x.reply.Signed {
		t.blame(x, "an answer without a signature")
		return false
	}
	if t.route.Kind == routing.Streaming && x.resp.StatusCode == http.StatusOK {
		return t.passStream(ctx, x, sent)
	}
	if t.started {
		t.blame(x, "status %d instead of the rest of a stream", x.resp.StatusCode)
		return false
	}
	return t.passWhole(ctx, x, f.Clock.Now().Sub(sent))
}

// notRun handles a replica that promises not to have run the request.
func (t *task) notRun(x *exchange) bool {
	if _, err := io.Copy(io.Discard, x.resp.Body); err == nil {
		x.finish()
	}
	if x.reply.Misdirected {
		t.sends-- // another replica has the address; the one that was meant got nothing
		x.replica.Record(t.front.Clock.Now(), replicas.Misplaced)
	}
	t.front.Log.Event("try", "id", t.call.ID, "replica", x.replica.ID(), "verdict", peridotusher.NotRun, "status", x.resp.StatusCode)
	t.failure = peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseOverloaded, "the replica refused with status %d", x.resp.StatusCode)
	return false
}

// blame records an answer that is not what a sound replica sends.
func (t *task) blame(x *exchange, format string, args ...any) {
	t.mayHaveRun = true
	t.failure = peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, format, args...)
	t.front.Log.Event("try", "id", t.call.ID, "replica", x.replica.ID(), "verdict", peridotusher.MayHaveRun, "error", t.failure)
	x.replica.Record(t.front.Clock.Now(), replicas.Failed)
}

// passWhole passes on an answer that is no stream.
func (t *task) passWhole(ctx context.Context, x *exchange, took time.Duration) bool {
	body, rest, err := readUpTo(x.resp.Body, wholeAnswer)
	if err != nil {
		t.mayHaveRun = true
		if ctx.Err() == nil {
			t.blame(x, "the answer was cut after %d bytes: %v", len(body), err)
		}
		return false
	}
	failed := x.resp.StatusCode >= http.StatusInternalServerError
	if failed {
		x.replica.Record(t.front.Clock.Now(), replicas.Failed)
		t.mayHaveRun = true
		if !rest && t.mayRepeat() {
			x.finish()
			t.failure = peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, "the replica failed with status %d", x.resp.StatusCode)
			t.front.Log.Event("try", "id", t.call.ID, "replica", x.replica.ID(), "verdict", peridotusher.Ran, "status", x.resp.StatusCode)
			return false
		}
	} else {
		x.replica.Record(t.front.Clock.Now(), replicas.Good)
	}
	t.head(x.resp, x.resp.ContentLength)
	if !rest {
		x.finish()
		if _, err := t.w.Write(body); err != nil {
			t.front.Log.Event("client", "id", t.call.ID, "error", err)
		}
		t.done(x, took)
		return true
	}
	t.passRest(body, x)
	t.done(x, took)
	return true
}

// passRest passes on an answer too long to be held.
func (t *task) passRest(body []byte, x *exchange) {
	if _, err := t.w.Write(body); err != nil {
		t.cut("client", err)
	}
	if _, err := io.CopyBuffer(t.w, x.resp.Body, make([]byte, copyBuffer)); err != nil {
		t.cut("copy", err)
	}
	x.finish()
}

// cut ends the client's connection, so that the answer does not look complete.
func (t *task) cut(kind string, err error) {
	t.front.Log.Event("cut", "id", t.call.ID, "route", t.routeName(), "at", kind, "error", err)
	t.front.Metrics.cut(t.routeName())
	if kind != "client" {
		t.spend(false)
	}
	panic(http.ErrAbortHandler)
}

// readUpTo reads a body of at most limit bytes whole. rest reports that there is
// more.
func readUpTo(body io.Reader, limit int) (data []byte, rest bool, err error) {
	buf := make([]byte, 0, 2048)
	for {
		if len(buf) >= limit {
			return buf, true, nil
		}
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, false, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
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
