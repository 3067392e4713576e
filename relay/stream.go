package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
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

// isEventStream reports whether an answer on a route of streams is a stream of events, which is
// assumed if it states no type.
func isEventStream(resp *http.Response) bool {
	if resp.StatusCode != http.StatusOK {
		return false
	}
	text := resp.Header.Get("Content-Type")
	if text == "" {
		return true
	}
	mediaType, _, _ := strings.Cut(text, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// errNotContinued means that a replica does not continue the stream that the client has.
var errNotContinued = errors.New("the events do not follow those of the replica before")

// replicaStream is what one replica sends of a stream.
type replicaStream struct {
	task   *task
	x      *exchange
	events eventSplitter
	sent   time.Time     // when the request was sent
	first  time.Duration // from then to the first event; 0 before it
	latest time.Time     // when the latest event arrived
	// continues is set once events are known to follow those that the client has.
	continues bool
}

// forwardStream forwards the complete events of a replica as they arrive, and reports whether the
// client has its final answer. A stream that breaks off may be resumed at another replica if the
// route allows it.
func (t *task) forwardStream(ctx context.Context, x *exchange, sent time.Time) bool {
	buf := streamBufferPool.Get().(*[]byte)
	defer streamBufferPool.Put(buf)
	s := &replicaStream{task: t, x: x, sent: sent, latest: sent, continues: !t.headWritten}
	err := s.renewTimeout()
	for err == nil {
		n, readErr := x.resp.Body.Read(*buf)
		err = s.receive((*buf)[:n])
		if err == nil {
			err = readErr
		}
	}
	if errors.Is(err, io.EOF) && (!s.isComplete() || t.brokeOffAtEnd(ctx, x)) {
		err = io.ErrUnexpectedEOF
	}
	if !errors.Is(err, io.EOF) {
		if s.first == 0 {
			t.recordIfCrashed(ctx, x.replica, err)
		}
		return t.handleBrokenStream(ctx, x, err)
	}
	x.finish()
	t.forwardEvents(x, s.events.partial())
	x.replica.Record(t.proxy.Clock.Now(), replicas.Good)
	t.recordAnswered(x, s.first)
	return true
}

// receive forwards the events that are complete with more data.
func (s *replicaStream) receive(data []byte) error {
	t := s.task
	complete, lastID := s.events.feed(data)
	t.partialBytes = len(s.events.partial())
	if len(complete) > 0 {
		s.recordTimes()
		if !s.checkContinues(complete) {
			return errNotContinued
		}
		t.forwardEvents(s.x, complete)
		if lastID != "" {
			t.lastEventID = lastID
		}
		// Only complete events renew the timeout; single bytes do not.
		if err := s.renewTimeout(); err != nil {
			return err
		}
	}
	if t.partialBytes > maxEventBytes {
		return errTooLong
	}
	return nil
}

// recordTimes records the arrival of events.
func (s *replicaStream) recordTimes() {
	t, now := s.task, s.task.proxy.Clock.Now()
	if s.first > 0 {
		t.longestPause = max(t.longestPause, now.Sub(s.latest))
	} else {
		s.first = now.Sub(s.sent)
		t.endRead()
		t.recordBegun()
	}
	s.latest = now
}

func (s *replicaStream) renewTimeout() error {
	return s.x.conn.setReadTimeout(s.task.stallTimeout(), s.task.shouldAbandonReplica)
}

// isComplete reports whether a body that has ended is a complete stream. With neither length nor
// chunks, an end without any event cannot be told from a break.
func (s *replicaStream) isComplete() bool {
	return !s.events.insideEvent() && (s.first > 0 || isDelimited(s.x.resp))
}

// checkContinues reports whether events follow those that the client has: the first one has a
// later id. Ids that are not numbers are not compared.
func (s *replicaStream) checkContinues(complete []byte) bool {
	if s.continues {
		return true
	}
	id, ok := firstID(complete)
	if !ok {
		return true // only comments so far
	}
	s.continues = true
	before, err := strconv.ParseInt(s.task.lastEventID, 10, 64)
	if err != nil {
		return id != ""
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err == nil && next > before
}

// handleBrokenStream records a stream that broke off.
func (t *task) handleBrokenStream(ctx context.Context, x *exchange, err error) bool {
	if ctx.Err() == nil {
		t.recordFault(x, "the stream broke after event %q and %d bytes (%s): %v", t.lastEventID, t.partialBytes, framing(x.resp), err)
		t.proxy.Metrics.countResume(t.routeName())
	}
	return false
}

// stallTimeout returns how long a stream may pause before another replica is tried; 0 if no other
// can be.
func (t *task) stallTimeout() time.Duration {
	if !t.route.Retryable() || !t.canContinue() || t.sends >= t.route.MaxAttempts || t.cold.limited && len(t.retryCandidates()) == 0 {
		return 0
	}
	return time.Duration(float64(t.route.Objective) * stallFraction)
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
