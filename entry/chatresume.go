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

// takeOverTimeout bounds the wait for the router that sent the stream so far to
// detach from it.
const takeOverTimeout = 300 * time.Millisecond

// resume resumes a stream that this or another router began. The engine's answer
// is read from its beginning, so that another engine can continue it if this one
// is lost. Events that the client has already received are not sent again.
func (c *chatHandler) resume(ctx context.Context, call caller.ChatCall) (caller.ChatStream, error) {
	pos, err := c.parsePosition(call)
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

// parsePosition decodes the client's Last-Event-ID, which must belong to the
// client's own organisation.
func (c *chatHandler) parsePosition(call caller.ChatCall) (peridotusher.StreamPosition, error) {
	pos, err := peridotusher.ParseEventID(c.host.StreamSecret, call.LastEventID)
	if err != nil || c.host.StreamSecret == "" || pos.Organisation != call.Request.Organisation {
		return pos, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseBadRequest, "the Last-Event-ID is not the id of an event that this organisation received")
	}
	return pos, nil
}

// takeOver makes the router that sent the stream so far detach from it.
func (c *chatHandler) takeOver(ctx context.Context, pos peridotusher.StreamPosition) {
	if pos.Router == peridotusher.RouterID(c.host.Name) {
		c.host.streams.detach(pos.Engine, pos.Stream)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	if err := c.host.node.TakeOver(ctx, pos.Router, pos.Engine, pos.Stream); err != nil {
		// A router that has stopped no longer sends the stream anyway.
		c.host.Log.WithError(err).WithField("router", pos.Router).Debug("stream takeover not confirmed by the previous router")
	}
}

// reopen opens the engine's stream and skips the events that the client has
// already received.
func (s *chatStream) reopen(pos peridotusher.StreamPosition) error {
	s.partial.Resume(pos.Base)
	s.observer = s.host.observeRequest(s.call.Request, pos.Engine)
	from := engine.FromStart
	if pos.Base > 0 {
		from = pos.Offset
	}
	stream, err := s.send(s.permit, s.call.Body, fmt.Sprintf("%s:%d", pos.Stream, from))
	if err != nil {
		return err
	}
	s.setStream(s.permit, stream)
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
