package entry

import (
	"context"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/engine"
)

// maxAttempts bounds the engines that one call of chatStream.start sends the
// request to.
const maxAttempts = 3

// chatHandler handles requests to models by sending them to engines.
type chatHandler struct {
	host *Host
}

// Chat implements caller.Chats.
func (c *chatHandler) Chat(ctx context.Context, call caller.ChatCall) (caller.ChatStream, error) {
	if call.LastEventID != "" {
		return c.resume(ctx, call)
	}
	c.host.retries.budget.CountRequest(call.Document.Policy().RetryBudget())
	s := c.newStream(ctx, call)
	if err := s.start(call.Body); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (c *chatHandler) newStream(ctx context.Context, call caller.ChatCall) *chatStream {
	call.Request = withoutChat(call.Document, call.Request)
	if model, ok := call.Document.Model(call.Request.Model); ok {
		call.Request.Version = c.host.ingress.Placer.Version(model, call.Request.Chat)
	}
	s := &chatStream{host: c.host, call: call, excluded: map[peridotusher.EngineID]bool{}, detached: make(chan struct{})}
	s.ctx, s.stop = context.WithCancel(ctx)
	return s
}

// start sends the request to an engine. If it certainly did not run there, or the
// engine was lost, it is sent to another one, within the retry budget.
func (s *chatStream) start(body []byte) error {
	var last error
	mayHaveRun := false
	for n := 0; n < maxAttempts; n++ {
		if n > 0 && !s.consumeRetry() {
			break
		}
		if err := s.checkQuarantine(n > 0 || s.permit != nil); err != nil {
			last = err
			break
		}
		permit, err := s.host.ingress.Acquire(s.ctx, s.call.Document, s.call.Request, s.excluded)
		if err != nil {
			last = refusalReason(err, last)
			break
		}
		f := s.startAt(permit, body)
		if f == nil {
			return nil
		}
		last = f
		mayHaveRun = mayHaveRun || f.Verdict() != peridotusher.NotRun
		if f.Verdict() != peridotusher.NotRun && f.Cause() != peridotusher.CauseEndpointLost {
			break
		}
	}
	return verdictAfter(mayHaveRun, last)
}

// startAt sends the request to the permit's engine. After a failure the permit is released and the
// engine excluded from further attempts.
func (s *chatStream) startAt(permit *peridotusher.Permit, body []byte) *peridotusher.Failure {
	observer := s.host.observeRequest(s.call.Request, permit.Engine().ID())
	s.sentAt = s.host.Clock.Now()
	stream, err := s.send(permit, body, "")
	if err == nil {
		s.observer = observer
		s.setStream(permit, stream)
		return nil
	}
	observer.end(err)
	f := peridotusher.AsFailure(err)
	if f.Verdict() != peridotusher.NotRun {
		s.recordIfCrashed(permit.Engine(), err)
	}
	permit.Done(s.ctx, f.Verdict(), true)
	s.excluded[permit.Engine().ID()] = true
	return f
}

// verdictAfter returns the error of the last attempt, whose verdict is not NotRun if an earlier one
// may have run.
func verdictAfter(mayHaveRun bool, last error) error {
	f := peridotusher.AsFailure(last)
	if !mayHaveRun || f.Verdict() != peridotusher.NotRun {
		return last
	}
	return peridotusher.FailWith(peridotusher.MayHaveRun, f.Cause(), last).WithRetryAfter(f.RetryAfter())
}

// refusalReason returns the error of a request that got no further permit: the
// last engine's error if no engine remains, else both errors.
func refusalReason(refused, last error) error {
	if last != nil && peridotusher.AsFailure(refused).Cause() == peridotusher.CauseNoEndpoint {
		return last
	}
	return errors.CombineErrors(refused, last)
}

// consumeRetry takes one retry from the budget and returns whether it may be made.
func (s *chatStream) consumeRetry() bool {
	return s.ctx.Err() == nil && s.host.retries.budget.TryRetry(s.call.Document.Policy().RetryBudget())
}

// send starts the answer at the permit's engine, or resumes it after lastEventID
// if that is not empty.
func (s *chatStream) send(permit *peridotusher.Permit, body []byte, lastEventID string) (*engine.Stream, error) {
	call := engine.Call{
		Request:     s.call.Request,
		Body:        body,
		Version:     s.call.Request.Version,
		LastEventID: lastEventID,
		Idle:        s.call.Document.Policy().IdleTimeout(),
	}
	if class, ok := s.call.Document.Class(s.call.Request.Class); ok {
		call.Priority = class.Priority()
	}
	return s.host.engineClient.Chat(s.ctx, permit.Engine().Address(), call)
}
