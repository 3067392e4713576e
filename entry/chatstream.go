package entry

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/pause"
)

const (
	// cancelTimeout bounds the wait for an engine to confirm the cancellation of a
	// stream.
	cancelTimeout = 500 * time.Millisecond
	// reconnectGrace is the time in which a disconnected client may resume its
	// stream before the stream is cancelled.
	reconnectGrace = 400 * time.Millisecond
)

// errDetached ends a stream that its client has resumed on another connection.
var errDetached = errors.New("the caller goes on at another connection")

// chatStream is one answer to a client. If an engine is lost, another one may
// continue the answer.
type chatStream struct {
	host *Host
	ctx  context.Context
	stop context.CancelFunc
	call caller.ChatCall

	permit   *peridotusher.Permit
	stream   *engine.Stream
	observer *requestObserver
	partial  engine.PartialAnswer
	excluded map[peridotusher.EngineID]bool
	signer   *peridotusher.EventSigner
	key      streamKey
	resumed  bool // no event was received since the stream was last resumed
	complete bool
	failed   bool

	sentAt       time.Time // when the request was sent to the current engine
	begun        bool      // an engine has sent an event
	parts        []uint64  // cache of sharedParts
	partsDecoded bool

	mu       sync.Mutex    // guards permit against a concurrent detach
	detached chan struct{} // closed when another connection has resumed the stream
}

// setStream makes the stream the current source of events, under the permit.
func (s *chatStream) setStream(permit *peridotusher.Permit, stream *engine.Stream) {
	s.mu.Lock()
	s.permit = permit
	s.mu.Unlock()
	s.stream = stream
	s.register()
}

// register adds the stream to the host's table under the engine's stream id.
func (s *chatStream) register() {
	key := streamKey{s.permit.Engine().ID(), s.stream.ID()}
	if key.stream == "" || key == s.key {
		return
	}
	s.host.streams.remove(s.key, s)
	s.key = key
	s.host.streams.add(key, s)
}

// Next implements caller.ChatStream. A broken stream is resumed at its engine or
// continued at another one.
func (s *chatStream) Next() (caller.ChatEvent, error) {
	for {
		event, err := s.stream.Next()
		if err == nil {
			s.resumed = false
			s.recordBegun()
			s.observer.recordFirstToken()
			s.register()
			data := s.partial.RewriteChunk(event.Data())
			s.partial.Add(data)
			return caller.ChatEvent{ID: s.eventID(event), Data: data}, nil
		}
		if !errors.Is(err, io.EOF) {
			s.recordIfCrashed(s.permit.Engine(), err)
			err = s.recover(err)
		}
		if errors.Is(err, io.EOF) {
			s.complete = true
			return caller.ChatEvent{}, io.EOF
		}
		if err != nil {
			s.failed = true
			s.observer.end(err)
			return caller.ChatEvent{}, err
		}
	}
}

// recover resumes or continues the answer after its stream failed. It returns
// io.EOF if the answer is already complete.
func (s *chatStream) recover(err error) error {
	if s.isDetached() {
		return peridotusher.FailWith(peridotusher.Ran, peridotusher.CauseCallerDisconnected, errDetached)
	}
	if s.ctx.Err() != nil {
		return err
	}
	if !s.resumed && s.resumeAtEngine() {
		return nil
	}
	if s.partial.Finished() {
		return io.EOF
	}
	return s.continueAtOtherEngine(err)
}

// resumeAtEngine resumes the stream at its engine on a new connection and returns
// whether that succeeded.
func (s *chatStream) resumeAtEngine() bool {
	id := s.stream.LastEventID()
	if id == "" {
		return false
	}
	stream, err := s.send(s.permit, s.call.Body, id)
	if err != nil {
		return false
	}
	s.host.Log.WithFields(logrus.Fields{"request": s.call.Request.ID, "engine": s.Engine()}).Info("stream resumed on a new connection")
	_ = s.stream.Close()
	s.setStream(s.permit, stream)
	s.resumed = true
	return true
}

// continueAtOtherEngine lets another engine continue the answer after the text
// that was delivered.
func (s *chatStream) continueAtOtherEngine(lost error) error {
	f := peridotusher.AsFailure(lost)
	body, ok := s.partial.Continue(s.call.Body)
	if !ok || !s.consumeRetry() {
		return f
	}
	s.observer.end(lost)
	s.releaseEngine(s.permit.Engine())
	s.resumed = false
	if err := s.startWithin(body, continueTimeout); err != nil {
		return peridotusher.FailWith(atLeastMayHaveRun(f.Verdict()), peridotusher.AsFailure(err).Cause(), errors.Wrap(err, "the engine was lost and no other one went on")).WithRetryAfter(peridotusher.AsFailure(err).RetryAfter())
	}
	return nil
}

const (
	// continueTimeout bounds the wait for a free slot at another engine.
	continueTimeout = 2 * time.Second
	// continueRetryInterval is the delay between two attempts to get a free slot.
	continueRetryInterval = 100 * time.Millisecond
)

// startWithin starts the answer. While every engine is full it tries again, until
// the limit has passed.
func (s *chatStream) startWithin(body []byte, limit time.Duration) error {
	end := s.host.Clock.Now().Add(limit)
	for {
		err := s.start(body)
		if err == nil || peridotusher.AsFailure(err).Cause() != peridotusher.CauseOverloaded {
			return err
		}
		if s.ctx.Err() != nil || s.host.Clock.Now().After(end) {
			return err
		}
		pause.For(s.ctx, continueRetryInterval)
	}
}

// atLeastMayHaveRun returns the verdict for a lost stream, which is never NotRun
// because the engine had begun to answer.
func atLeastMayHaveRun(v peridotusher.Verdict) peridotusher.Verdict {
	if v == peridotusher.NotRun {
		return peridotusher.MayHaveRun
	}
	return v
}

// releaseEngine cancels the stream at the current engine, releases the permit and
// excludes the engine from further attempts.
func (s *chatStream) releaseEngine(e peridotusher.Engine) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), lostEngineTimeout)
	defer cancel()
	// An unreachable engine drops the stream by itself after its grace time.
	_ = s.stream.Cancel(ctx)
	_ = s.stream.Close()
	s.permit.Done(ctx, peridotusher.Ran, true)
	s.excluded[e.ID()] = true
}

// lostEngineTimeout bounds the wait for a lost engine to cancel a stream.
const lostEngineTimeout = 100 * time.Millisecond

// eventID returns the signed id with which the client can resume after the event,
// or an empty string if streams cannot be resumed.
func (s *chatStream) eventID(e engine.Event) string {
	if s.host.StreamSecret == "" {
		return ""
	}
	if s.signer == nil {
		s.signer = peridotusher.NewEventSigner(s.host.StreamSecret)
	}
	return s.signer.EventID(peridotusher.StreamPosition{
		Engine:       s.permit.Engine().ID(),
		Stream:       e.Stream(),
		Offset:       e.Offset(),
		Base:         s.partial.PreviousChunks(),
		Organisation: s.call.Request.Organisation,
		Request:      s.call.Request.ID,
		Router:       peridotusher.RouterID(s.host.Name),
		Permit:       s.permit.ID(),
	})
}

// Engine implements caller.ChatStream.
func (s *chatStream) Engine() string { return string(s.permit.Engine().ID()) }

// Close implements caller.ChatStream. If the client disconnected before the end,
// the stream is cancelled at the engine, unless the client resumes it within
// reconnectGrace.
func (s *chatStream) Close() {
	defer s.stop()
	defer func() { s.host.streams.remove(s.key, s) }()
	defer s.observer.end(nil)
	if !s.complete && !s.failed {
		s.awaitReconnect()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
	defer cancel()
	if s.isDetached() {
		_ = s.stream.Close()
		return
	}
	if !s.complete {
		// An unreachable engine drops the stream by itself after its grace time.
		_ = s.stream.Cancel(ctx)
	}
	_ = s.stream.Close()
	s.permit.Done(ctx, peridotusher.Ran, s.failed)
}

// awaitReconnect waits until the client has resumed the stream at some router or
// the grace time has passed.
func (s *chatStream) awaitReconnect() {
	timer := time.NewTimer(reconnectGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.detached:
	}
}

// detach ends the stream without cancelling the engine's work. From then on the
// permit belongs to the connection that resumed the stream.
func (s *chatStream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDetached() {
		return
	}
	close(s.detached)
	s.permit.HandOver()
	s.stop()
}

func (s *chatStream) isDetached() bool {
	select {
	case <-s.detached:
		return true
	default:
		return false
	}
}
