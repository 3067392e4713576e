package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/engine"
)

// takeOverTimeout bounds the wait for the router that sent the stream before.
const takeOverTimeout = 300 * time.Millisecond

// resume goes on with a stream that this or another router began. The
// engine's answer is read from its beginning, so that it can go on elsewhere
// if the engine is lost; what the caller has is not sent again.
func (c *chats) resume(ctx context.Context, call caller.ChatCall) (caller.ChatStream, error) {
	pos, err := c.position(call)
	if err != nil {
		return nil, err
	}
	call.Request.ID = pos.Request
	target, ok := c.host.engines.Get(pos.Engine)
	if !ok {
		return nil, peridotusher.Fail(peridotusher.Ran, peridotusher.CauseEndpointLost, "the engine of the stream has gone; send the request again without Last-Event-ID")
	}
	c.takeOver(ctx, pos)
	s := c.newStream(ctx, call)
	s.permit = c.host.ingress.Resume(ctx, c.host.node, pos.Permit, call.Request, target)
	if err := s.reopen(pos); err != nil {
		c.host.streams.remove(s.key, s)
		s.permit.Done(ctx, peridotusher.Ran, true)
		s.stop()
		return nil, peridotusher.FailWith(peridotusher.Ran, peridotusher.AsFailure(err).Cause(), errors.Wrap(err, "the stream cannot be resumed; send the request again without Last-Event-ID"))
	}
	return s, nil
}

// position reads the caller's event id, which has to be of its own request.
func (c *chats) position(call caller.ChatCall) (peridotusher.StreamPosition, error) {
	pos, err := peridotusher.ParseEventID(c.host.StreamSecret, call.LastEventID)
	if err != nil || c.host.StreamSecret == "" || pos.Organisation != call.Request.Organisation {
		return pos, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadRequest, "the Last-Event-ID is not the id of an event that this organisation received")
	}
	return pos, nil
}

// takeOver tells the router that sent the stream before to leave it alone.
func (c *chats) takeOver(ctx context.Context, pos peridotusher.StreamPosition) {
	if pos.Router == peridotusher.RouterID(c.host.Name) {
		c.host.streams.giveUp(pos.Engine, pos.Stream)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	if err := c.host.node.TakeOver(ctx, pos.Router, pos.Engine, pos.Stream); err != nil {
		// A router that is gone sends nothing any more.
		c.host.Log.WithError(err).WithField("router", pos.Router).Debug("stream not handed over")
	}
}

// reopen opens the engine's stream and reads what the caller has already.
func (s *chatStream) reopen(pos peridotusher.StreamPosition) error {
	s.partial.Resume(pos.Base)
	s.watch = s.host.watchEngine(s.call.Request, pos.Engine)
	from := engine.FromStart
	if pos.Base > 0 {
		from = pos.Offset
	}
	stream, err := s.send(s.permit, s.call.Body, fmt.Sprintf("%s:%d", pos.Stream, from))
	if err != nil {
		return err
	}
	s.adopt(s.permit, stream)
	for offset := from; offset < pos.Offset; offset++ {
		event, err := stream.Next()
		if err != nil {
			_ = stream.Close()
			return err
		}
		s.partial.Add(event.Data())
	}
	return nil
}
