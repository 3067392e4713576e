package entry

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/engine"
)

const (
	// maxAttempts is the most engines that one request is sent to.
	maxAttempts = 3
	// cancelTimeout bounds the wait for an engine to confirm a cancelled stream.
	cancelTimeout = time.Second
)

// chats answers requests to models through the engines.
type chats struct {
	host *Host
}

// Chat implements caller.Chats. A request that certainly did not run at one
// engine is sent to another one.
func (c *chats) Chat(ctx context.Context, call caller.ChatCall) (caller.ChatStream, error) {
	model, _ := call.Document.Model(call.Request.Model)
	call.Request.Version = c.host.ingress.Placer.Version(model, call.Request.Chat)
	avoid := map[peridotusher.EngineID]bool{}
	var last error
	for n := 0; n < maxAttempts; n++ {
		permit, err := c.host.ingress.Acquire(ctx, call.Document, call.Request, avoid)
		if err != nil {
			return nil, errors.CombineErrors(err, last)
		}
		stream, err := c.send(ctx, call, permit)
		if err == nil {
			return stream, nil
		}
		f := peridotusher.AsFailure(err)
		permit.Done(ctx, f.Verdict(), true)
		if f.Verdict() != peridotusher.NotRun {
			return nil, f
		}
		avoid[permit.Engine().ID()] = true
		last = f
	}
	return nil, last
}

func (c *chats) send(ctx context.Context, call caller.ChatCall, permit *peridotusher.Permit) (caller.ChatStream, error) {
	class, _ := call.Document.Class(call.Request.Class)
	watch := c.host.watchEngine(call.Request, permit.Engine().ID())
	stream, err := c.host.models.Chat(ctx, permit.Engine().Address(), engine.Call{
		Request:  call.Request,
		Body:     call.Body,
		Priority: class.Priority(),
		Version:  call.Request.Version,
	})
	if err != nil {
		watch.end(err)
		return nil, err
	}
	return &chatStream{ctx: ctx, permit: permit, stream: stream, watch: watch}, nil
}

// chatStream is one answer from an engine under its permit.
type chatStream struct {
	ctx    context.Context
	permit *peridotusher.Permit
	stream *engine.Stream
	watch  *engineWatch
	whole  bool
	failed bool
}

// Next implements caller.ChatStream.
func (s *chatStream) Next() (caller.ChatEvent, error) {
	event, err := s.stream.Next()
	if errors.Is(err, io.EOF) {
		s.whole = true
		return caller.ChatEvent{}, io.EOF
	}
	if err != nil {
		s.failed = true
		s.watch.end(err)
		return caller.ChatEvent{}, err
	}
	s.watch.token()
	return caller.ChatEvent{Data: event.Data()}, nil
}

// Engine implements caller.ChatStream.
func (s *chatStream) Engine() string { return string(s.permit.Engine().ID()) }

// Close implements caller.ChatStream. A stream that did not end whole is
// cancelled at the engine before its permit is returned.
func (s *chatStream) Close() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
	defer cancel()
	if !s.whole {
		// An engine that cannot be reached drops the stream after its grace time.
		_ = s.stream.Cancel(ctx)
	}
	_ = s.stream.Close()
	s.watch.end(nil)
	s.permit.Done(ctx, peridotusher.Ran, s.failed)
}
