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
	// cancelTimeout bounds the wait for an engine to confirm a cancelled stream.
	cancelTimeout = 500 * time.Millisecond
	// returnGrace is the time in which a caller that went away may come back
	// before its stream is cancelled.
	returnGrace = 400 * time.Millisecond
)

// errTaken ends a stream whose caller has come back to another router.
var errTaken = errors.New("the caller goes on at another connection")

// chatStream is one answer, which may come from several engines in turn.
type chatStream struct {
	host *Host
	ctx  context.Context
	stop context.CancelFunc
	call caller.ChatCall

	permit  *peridotusher.Permit
	stream  *engine.Stream
	watch   *engineWatch
	partial engine.Partial
	avoid   map[peridotusher.EngineID]bool
	signer  *peridotusher.EventSigner
	key     streamKey
	resumed bool // no event came since the stream was last resumed
	whole   bool
	failed  bool

	mu    sync.Mutex    // guards the change of permit against giveUp
	taken chan struct{} // closed when another connection goes on with the stream
}

// adopt makes the stream the present source of events.
func (s *chatStream) adopt(permit *peridotusher.Permit, stream *engine.Stream) {
	s.mu.Lock()
	s.permit = permit
	s.mu.Unlock()
	s.stream = stream
	s.register()
}

// register makes the stream known under its engine's name for it.
func (s *chatStream) register() {
	key := streamKey{s.permit.Engine().ID(), s.stream.ID()}
	if key.stream == "" || key == s.key {
		return
	}
	s.host.streams.remove(s.key, s)
	s.key = key
	s.host.streams.add(key, s)
}

// Next implements caller.ChatStream. A stream that breaks is resumed, or goes
// on at another engine.
func (s *chatStream) Next() (caller.ChatEvent, error) {
	for {
		event, err := s.stream.Next()
		if err == nil {
			s.resumed = false
			s.watch.token()
			s.register()
			data := s.partial.Edit(event.Data())
			s.partial.Add(data)
			return caller.ChatEvent{ID: s.eventID(event), Data: data}, nil
		}
		if !errors.Is(err, io.EOF) {
			err = s.recover(err)
		}
		if errors.Is(err, io.EOF) {
			s.whole = true
			return caller.ChatEvent{}, io.EOF
		}
		if err != nil {
			s.failed = true
			s.watch.end(err)
			return caller.ChatEvent{}, err
		}
	}
}

// recover goes on after a failure of the stream. It returns io.EOF if the
// answer is complete already.
func (s *chatStream) recover(err error) error {
	if s.isTaken() {
		return peridotusher.FailWith(peridotusher.Ran, peridotusher.CauseCallerGone, errTaken)
	}
	if s.ctx.Err() != nil {
		return err
	}
	if !s.resumed && s.resumeHere() {
		return nil
	}
	if s.partial.Finished() {
		return io.EOF
	}
	return s.continueElsewhere(err)
}

// resumeHere resumes the stream at its engine on a new connection.
func (s *chatStream) resumeHere() bool {
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
	s.adopt(s.permit, stream)
	s.resumed = true
	return true
}

// continueElsewhere lets another engine go on after what was delivered.
func (s *chatStream) continueElsewhere(lost error) error {
	f := peridotusher.AsFailure(lost)
	body, ok := s.partial.Continue(s.call.Body)
	if !ok || !s.mayRetry() {
		return f
	}
	s.watch.end(lost)
	s.leave(s.permit.Engine())
	s.resumed = false
	if err := s.startWithin(body, continueTimeout); err != nil {
		return peridotusher.FailWith(ranOr(f.Verdict()), peridotusher.AsFailure(err).Cause(), errors.Wrap(err, "the engine was lost and no other one went on")).WithRetryAfter(peridotusher.AsFailure(err).RetryAfter())
	}
	return nil
}

const (
	// continueTimeout bounds the wait for room at another engine.
	continueTimeout = 2 * time.Second
	// continueRetry is the delay between two tries to find room.
	continueRetry = 100 * time.Millisecond
)

// startWithin starts the answer, and waits for room while every engine is full.
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
		pause.For(s.ctx, continueRetry)
	}
}

// ranOr returns the verdict of a stream that was lost: it is never NotRun.
func ranOr(v peridotusher.Verdict) peridotusher.Verdict {
	if v == peridotusher.NotRun {
		return peridotusher.MayHaveRun
	}
	return v
}

// leave gives the present engine up.
func (s *chatStream) leave(e peridotusher.Engine) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), leaveTimeout)
	defer cancel()
	// An engine that cannot be reached drops the stream after its grace time.
	_ = s.stream.Cancel(ctx)
	_ = s.stream.Close()
	s.permit.Done(ctx, peridotusher.Ran, true)
	s.avoid[e.ID()] = true
}

// leaveTimeout bounds the wait for a lost engine to cancel a stream.
const leaveTimeout = 100 * time.Millisecond

// eventID returns the id by which the caller resumes after the event.
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
		Base:         s.partial.Base(),
		Organisation: s.call.Request.Organisation,
		Request:      s.call.Request.ID,
		Router:       peridotusher.RouterID(s.host.Name),
		Permit:       s.permit.ID(),
	})
}

// Engine implements caller.ChatStream.
func (s *chatStream) Engine() string { return string(s.permit.Engine().ID()) }

// Close implements caller.ChatStream. The stream of a caller that went away
// is cancelled at the engine, unless the caller comes back soon.
func (s *chatStream) Close() {
	defer s.stop()
	defer func() { s.host.streams.remove(s.key, s) }()
	defer s.watch.end(nil)
	if !s.whole && !s.failed {
		s.awaitReturn()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
	defer cancel()
	if s.isTaken() {
		_ = s.stream.Close()
		return
	}
	if !s.whole {
		// An engine that cannot be reached drops the stream after its grace time.
		_ = s.stream.Cancel(ctx)
	}
	_ = s.stream.Close()
	s.permit.Done(ctx, peridotusher.Ran, s.failed)
}

// awaitReturn waits for the caller to come back to some router.
func (s *chatStream) awaitReturn() {
	timer := time.NewTimer(returnGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.taken:
	}
}

// giveUp makes the stream end without touching the engine's work. The permit
// is another connection's from here on.
func (s *chatStream) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isTaken() {
		return
	}
	close(s.taken)
	s.permit.HandOver()
	s.stop()
}

func (s *chatStream) isTaken() bool {
	select {
	case <-s.taken:
		return true
	default:
		return false
	}
}
