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

// streamBufferPool holds buffers for reading streams.
var streamBufferPool = sync.Pool{New: func() any { b := make([]byte, 4096); return &b }}

// stallFraction is the fraction of a route's latency objective without any event after which a
// resumable stream is continued at another replica.
const stallFraction = 0.9

// maxEventBytes is the maximum size of an event. A replica that sends more without an event
// boundary has failed.
const maxEventBytes = 256 << 10

// forwardStream forwards the complete events of a replica as they arrive, and reports whether the
// client has its final answer. A stream that breaks off may be resumed at another replica if the
// route allows it.
func (t *task) forwardStream(ctx context.Context, x *exchange, sent time.Time) bool {
	f := t.proxy
	buf := streamBufferPool.Get().(*[]byte)
	defer streamBufferPool.Put(buf)
	var ev eventSplitter
	var first time.Duration
	previousEvent := sent
	if err := x.conn.setReadTimeout(t.stallTimeout(), t.shouldAbandonReplica); err != nil {
		return t.handleBrokenStream(ctx, x, err)
	}
	for {
		n, err := x.resp.Body.Read(*buf)
		if complete, lastID := ev.feed((*buf)[:n]); len(complete) > 0 {
			now := f.Clock.Now()
			if first > 0 {
				t.longestPause = max(t.longestPause, now.Sub(previousEvent))
			}
			previousEvent = now
			if first == 0 {
				first = now.Sub(sent)
				t.endRead()
				if !t.continuesStream(complete) {
					t.recordFault(x, "a resumed stream repeats events")
					return false
				}
			}
			t.forwardEvents(x, complete)
			if lastID != "" {
				t.lastEventID = lastID
			}
			// Only complete events renew the timeout; single bytes do not.
			if err := x.conn.setReadTimeout(t.stallTimeout(), t.shouldAbandonReplica); err != nil {
				return t.handleBrokenStream(ctx, x, err)
			}
		}
		t.partialBytes = len(ev.partial())
		if t.partialBytes > maxEventBytes {
			return t.handleBrokenStream(ctx, x, errTooLong)
		}
		if errors.Is(err, io.EOF) {
			if ev.insideEvent() || first == 0 && !isDelimited(x.resp) {
				return t.handleBrokenStream(ctx, x, io.ErrUnexpectedEOF)
			}
			x.finish()
			t.forwardEvents(x, ev.partial())
			x.replica.Record(f.Clock.Now(), replicas.Good)
			t.recordAnswered(x, first)
			return true
		}
		if err != nil {
			return t.handleBrokenStream(ctx, x, err)
		}
	}
}

// handleBrokenStream records a stream that broke off.
func (t *task) handleBrokenStream(ctx context.Context, x *exchange, err error) bool {
	t.mayHaveRun = true
	if ctx.Err() == nil {
		t.recordFault(x, "the stream broke after event %q and %d bytes (%s): %v", t.lastEventID, t.partialBytes, framing(x.resp), err)
		t.proxy.Metrics.countResume(t.routeName())
	}
	return false
}

// stallTimeout returns how long a stream may pause before another replica is tried; 0 if no other
// can be.
func (t *task) stallTimeout() time.Duration {
	if !t.route.Retryable() || t.sends >= t.route.MaxAttempts || t.cold.limited && len(t.retryCandidates()) == 0 {
		return 0
	}
	return time.Duration(float64(t.route.Objective) * stallFraction)
}

// continuesStream reports whether events follow those that the client has. Ids that are not
// numbers are not checked.
func (t *task) continuesStream(complete []byte) bool {
	if t.lastEventID == "" || !t.headWritten {
		return true
	}
	before, err := strconv.ParseInt(t.lastEventID, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseInt(firstID(complete), 10, 64)
	return err != nil || next > before
}

// forwardEvents writes bytes of the stream to the client and flushes them.
func (t *task) forwardEvents(x *exchange, data []byte) {
	if !t.headWritten {
		length := x.resp.ContentLength
		if t.route.Resumable {
			length = -1
		}
		t.writeHead(x.resp, length)
	}
	if len(data) == 0 {
		return
	}
	if _, err := t.w.Write(data); err != nil {
		t.abortAnswer("client", err)
	}
	if err := http.NewResponseController(t.w).Flush(); err != nil {
		t.abortAnswer("client", err)
	}
}
