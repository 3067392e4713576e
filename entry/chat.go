package entry

import (
	"context"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/engine"
)

// maxAttempts is the most engines that one request is sent to at first.
const maxAttempts = 3

// chats answers requests to models through the engines.
type chats struct {
	host *Host
}

// Chat implements caller.Chats.
func (c *chats) Chat(ctx context.Context, call caller.ChatCall) (caller.ChatStream, error) {
	if call.LastEventID != "" {
		return c.resume(ctx, call)
	}
	c.host.retries.budget.Request(call.Document.Policy().RetryBudget())
	s := c.newStream(ctx, call)
	if err := s.start(call.Body); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (c *chats) newStream(ctx context.Context, call caller.ChatCall) *chatStream {
	call.Request = withoutChat(call.Document, call.Request)
	if model, ok := call.Document.Model(call.Request.Model); ok {
		call.Request.Version = c.host.ingress.Placer.Version(model, call.Request.Chat)
	}
	s := &chatStream{host: c.host, call: call, avoid: map[peridotusher.EngineID]bool{}, taken: make(chan struct{})}
	s.ctx, s.stop = context.WithCancel(ctx)
	return s
}

// start sends the request to an engine. A request that certainly did not run
// at one engine is sent to another one, within the budget of retries.
func (s *chatStream) start(body []byte) error {
	var last error
	for n := 0; n < maxAttempts; n++ {
		if n > 0 && !s.mayRetry() {
			return last
		}
		permit, err := s.host.ingress.Acquire(s.ctx, s.call.Document, s.call.Request, s.avoid)
		if err != nil {
			return refusalReason(err, last)
		}
		watch := s.host.watchEngine(s.call.Request, permit.Engine().ID())
		stream, err := s.send(permit, body, "")
		if err == nil {
			s.watch = watch
			s.adopt(permit, stream)
			return nil
		}
		watch.end(err)
		f := peridotusher.AsFailure(err)
		permit.Done(s.ctx, f.Verdict(), true)
		s.avoid[permit.Engine().ID()] = true
		last = f
		if f.Verdict() != peridotusher.NotRun && f.Cause() != peridotusher.CauseEndpointLost {
			return f
		}
	}
	return last
}

// refusalReason returns why a request was not sent again: the last engine's own
// answer if every engine has been tried.
func refusalReason(refused, last error) error {
	if last != nil && peridotusher.AsFailure(refused).Cause() == peridotusher.CauseNoEndpoint {
		return last
	}
	return errors.CombineErrors(refused, last)
}

// mayRetry takes one retry from the budget.
func (s *chatStream) mayRetry() bool {
	return s.ctx.Err() == nil && s.host.retries.budget.Retry(s.call.Document.Policy().RetryBudget())
}

// send starts or resumes the answer at the permit's engine.
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
	return s.host.models.Chat(s.ctx, permit.Engine().Address(), call)
}
