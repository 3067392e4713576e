package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/service"
)

// ErrCrossed is in the chain of a Failure whose event belongs to another
// stream or offset.
var ErrCrossed = errors.New("event of another stream or offset")

// errIdle ends a stream that was silent for too long.
var errIdle = errors.New("engine was silent for longer than the idle timeout")

// endMark is the data of a stream's last event.
const endMark = "[DONE]"

// Event is one chunk of an answer.
type Event struct {
	id     string
	stream string
	offset int
	data   []byte
}

// ID returns the id by which the stream can be resumed after this event.
func (e Event) ID() string { return e.id }

// Stream returns the stream that the event belongs to.
func (e Event) Stream() string { return e.stream }

// Offset returns the event's position in its stream, from zero.
func (e Event) Offset() int { return e.offset }

// Data returns the chunk's JSON.
func (e Event) Data() []byte { return e.data }

// Stream is the answer to one chat completion. Only one goroutine may call Next.
type Stream struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	client  *Client
	address string
	body    io.ReadCloser
	events  *eventReader
	idle    *silence
	id      string // empty until the engine named it
	next    int    // offset due next
	began   bool   // an event of this stream has arrived
	err     error  // the first error of Next, given again by later calls
}

// newStream checks that the answer belongs to the call and returns its Stream.
func newStream(ctx context.Context, cancel context.CancelCauseFunc, c *Client, address string, call Call, resp *http.Response) (*Stream, error) {
	s := &Stream{ctx: ctx, cancel: cancel, client: c, address: address, body: resp.Body}
	if err := s.match(call, resp.Header); err != nil {
		s.body.Close()
		cancel(nil)
		return nil, call.fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, err)
	}
	s.idle = newSilence(call.idleTimeout(c.opts), func() { cancel(errIdle) })
	s.events = newEventReader(resp.Body, s.idle.alive)
	return s, nil
}

// match takes the stream's id and first offset from the call and the answer's header.
func (s *Stream) match(call Call, header http.Header) error {
	if got := header.Get(headerRequest); got != "" && got != string(call.Request.ID) {
		return errors.Wrapf(ErrCrossed, "answer to request %q", got)
	}
	s.id = header.Get(headerStream)
	if call.LastEventID == "" {
		return nil
	}
	stream, offset, err := parseID(call.LastEventID)
	if err != nil {
		return err
	}
	if s.id != "" && s.id != stream {
		return errors.Wrapf(ErrCrossed, "answer of stream %q", s.id)
	}
	s.id, s.next, s.began = stream, offset+1, offset > FromStart
	return nil
}

// Next returns the next event, and io.EOF after the engine's end mark. Any
// other end is a *peridotusher.Failure, after which the stream can be resumed
// by a new call.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	s.idle.wait()
	event, err := s.read()
	s.idle.rest()
	s.err = err
	return event, err
}

// read reads events until it finds the one that is due. Events of other
// streams and events that came before are discarded and counted.
func (s *Stream) read() (Event, error) {
	for {
		raw, err := s.events.next()
		if err != nil {
			return Event{}, s.fail(err)
		}
		if string(raw.data) == endMark {
			return Event{}, s.end(raw.id)
		}
		stream, offset, err := parseID(raw.id)
		if err != nil {
			return Event{}, s.failWith(peridotusher.CauseEndpointError, err)
		}
		if s.id == "" {
			s.id = stream
		}
		switch {
		case stream != s.id:
			s.client.discard(Crossed)
		case offset < s.next:
			s.client.discard(Repeated)
		case offset > s.next:
			s.client.discard(Early)
			return Event{}, s.failWith(peridotusher.CauseEndpointError, errors.Wrapf(ErrCrossed, "id %q", raw.id))
		default:
			s.next++
			s.began = true
			return Event{id: raw.id, stream: stream, offset: offset, data: raw.data}, nil
		}
	}
}

// end returns io.EOF, unless the end mark carries the id of another stream.
func (s *Stream) end(id string) error {
	if id == "" {
		return io.EOF
	}
	stream, offset, err := parseID(id)
	if err != nil {
		return s.failWith(peridotusher.CauseEndpointError, err)
	}
	if stream != s.id || offset != s.next {
		return s.failWith(peridotusher.CauseEndpointError, errors.Wrapf(ErrCrossed, "end with id %q", id))
	}
	return io.EOF
}

// fail returns the Failure of a broken connection.
func (s *Stream) fail(err error) error {
	cause := service.CauseOf(s.ctx, peridotusher.CauseEndpointLost)
	if errors.Is(context.Cause(s.ctx), errIdle) {
		err = errIdle
		cause = peridotusher.CauseEndpointLost
	}
	if errors.Is(err, errTooLong) {
		cause = peridotusher.CauseEndpointError
	}
	return s.failWith(cause, err)
}

// failWith returns a Failure whose verdict is Ran once an event has arrived.
func (s *Stream) failWith(cause peridotusher.Cause, err error) error {
	verdict := peridotusher.MayHaveRun
	if s.began {
		verdict = peridotusher.Ran
	}
	return peridotusher.FailWith(verdict, cause, err)
}

// ID returns the stream's id, empty while the engine has not named it.
func (s *Stream) ID() string { return s.id }

// LastEventID returns the id by which the stream can be resumed after the
// events that Next has returned, none included. It is empty while the engine
// has not named the stream.
func (s *Stream) LastEventID() string {
	if s.id == "" {
		return ""
	}
	return s.id + ":" + strconv.Itoa(s.next-1)
}

// Cancel tells the engine to stop the stream and to free its work.
func (s *Stream) Cancel(ctx context.Context) error {
	if s.id == "" {
		return peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, "the engine has not named the stream")
	}
	return s.client.CancelStream(ctx, s.address, s.id)
}

// CancelStream tells the engine to stop the stream of the given id. A stream
// that the engine no longer knows counts as cancelled.
func (c *Client) CancelStream(ctx context.Context, address, id string) error {
	r := service.Request{Method: http.MethodDelete, Path: "/v1/streams/" + id, Idempotent: true}
	resp, err := c.plain.Call(ctx, address, r)
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK && resp.Status != http.StatusNotFound {
		return peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, "cancel: status %d", resp.Status)
	}
	return nil
}

// Close drops the connection. The engine keeps the stream for a while.
func (s *Stream) Close() error {
	s.idle.stop()
	s.cancel(nil)
	return s.body.Close()
}
