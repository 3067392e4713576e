package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/replicas"
)

// streamBuffer keeps buffers for reading streams.
var streamBuffer = sync.Pool{New: func() any { b := make([]byte, 4096); return &b }}

// stallPart is the part of a route's latency objective without any event after
// which a stream that may be resumed goes on at another replica.
const stallPart = 0.9

// eventMost bounds an event in bytes: what is longer is no event.
const eventMost = 256 << 10

// passStream passes the events of a replica on as they arrive, whole ones only,
// and reports whether the client has its final answer. A stream that breaks may
// go on at another replica if the route allows it.
func (t *task) passStream(ctx context.Context, x *exchange, sent time.Time) bool {
	f := t.front
	buf := streamBuffer.Get().(*[]byte)
	defer streamBuffer.Put(buf)
	var ev events
	var first time.Duration
	previous := sent
	if err := x.conn.wait(t.stallLimit(), t.giveUpReplica); err != nil {
		return t.streamFailed(ctx, x, err)
	}
	for {
		n, err := x.resp.Body.Read(*buf)
		if whole, last := ev.feed((*buf)[:n]); len(whole) > 0 {
			now := f.Clock.Now()
			if first > 0 {
				t.pause = max(t.pause, now.Sub(previous))
			}
			previous = now
			if first == 0 {
				first = now.Sub(sent)
				t.reading()
				if !t.goesOn(whole) {
					t.recordFault(x, "a resumed stream repeats events")
					return false
				}
			}
			t.passEvents(x, whole)
			if last != "" {
				t.last = last
			}
			// Only whole events are progress: a byte now and then is none.
			if err := x.conn.wait(t.stallLimit(), t.giveUpReplica); err != nil {
				return t.streamFailed(ctx, x, err)
			}
		}
		if len(ev.partial()) > eventMost {
			return t.streamFailed(ctx, x, errTooLong)
		}
		if errors.Is(err, io.EOF) {
			x.finish()
			t.passEvents(x, ev.partial())
			x.replica.Record(f.Clock.Now(), replicas.Good)
			t.done(x, first)
			return true
		}
		if err != nil {
			return t.streamFailed(ctx, x, err)
		}
	}
}

// streamFailed handles a stream that ended before its end.
func (t *task) streamFailed(ctx context.Context, x *exchange, err error) bool {
	t.mayHaveRun = true
	if ctx.Err() == nil {
		t.recordFault(x, "the stream broke after event %q: %v", t.last, err)
		t.front.Metrics.resumed(t.routeName())
	}
	return false
}

// stallLimit returns how long a stream may be silent; 0 if nothing else can be
// tried.
func (t *task) stallLimit() time.Duration {
	if !t.route.Retryable() || t.sends >= t.route.MaxAttempts || t.cold.limited && len(t.others()) == 0 {
		return 0
	}
	return time.Duration(float64(t.route.Objective) * stallPart)
}

// goesOn reports whether events follow those that the client has.
func (t *task) goesOn(whole []byte) bool {
	if t.last == "" || !t.started {
		return true
	}
	before, err := strconv.ParseInt(t.last, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseInt(firstID(whole), 10, 64)
	return err != nil || next > before
}

// passEvents writes bytes of the stream to the client at once.
func (t *task) passEvents(x *exchange, data []byte) {
	if !t.started {
		length := x.resp.ContentLength
		if t.route.Resumable {
			length = -1
		}
		t.head(x.resp, length)
	}
	if len(data) == 0 {
		return
	}
	if _, err := t.w.Write(data); err != nil {
		t.cut("client", err)
	}
	if err := http.NewResponseController(t.w).Flush(); err != nil {
		t.cut("client", err)
	}
}
