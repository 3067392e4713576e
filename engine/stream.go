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

// ErrMisplacedEvent is in the chain of a Failure that was caused by an event or an
// answer of another stream, offset or request.
var ErrMisplacedEvent = errors.New("event of another stream or offset")

// errIdle is the cause of canceling a stream without data for the idle timeout.
var errIdle = errors.New("engine was silent for longer than the idle timeout")

// doneMarker is the data of the event that ends a stream.
const doneMarker = "[DONE]"

// Event is one chunk of an answer.
type Event struct {
	id     string
	stream string
	offset int
	data   []byte
}

// ID returns the event's id. A call with it as LastEventID resumes the stream after
// this event.
func (e Event) ID() string { return e.id }

// Stream returns the stream that the event belongs to.
func (e Event) Stream() string { return e.stream }

// Offset returns the event's position in its stream, from zero.
func (e Event) Offset() int { return e.offset }

// Data returns the chunk's JSON.
func (e Event) Data() []byte { return e.data }

// Stream is the answer to one chat completion. Only one goroutine may call Next.
type Stream struct {
	ctx           context.Context
	cancel        context.CancelCauseFunc
	client        *Client
	address       string
	body          io.ReadCloser
	events        *eventReader
	idle          *idleTimer
	id            string // empty until the engine has sent it
	nextOffset    int    // offset of the next expected event
	receivedEvent bool   // an event was received, also before the stream was resumed
	err           error  // the first error of Next, which later calls return too
}

// newStream checks that the answer belongs to the call and returns its Stream.
func newStream(ctx context.Context, cancel context.CancelCauseFunc, c *Client, address string, call Call, resp *http.Response) (*Stream, error) {
	s := &Stream{ctx: ctx, cancel: cancel, client: c, address: address, body: resp.Body}
	if err := s.matchHeader(call, resp.Header); err != nil {
		s.body.Close()
		cancel(nil)
		return nil, call.fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, err)
	}
	s.idle = newIdleTimer(call.idleTimeout(c.opts), func() { cancel(errIdle) })
	s.events = newEventReader(resp.Body, s.idle.recordActivity)
	return s, nil
}

// matchHeader checks the answer's header against the call and sets the stream's id
// and first offset.
func (s *Stream) matchHeader(call Call, header http.Header) error {
	if got := header.Get(headerRequest); got != "" && got != string(call.Request.ID) {
		return errors.Wrapf(ErrMisplacedEvent, "answer to request %q", got)
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
		return errors.Wrapf(ErrMisplacedEvent, "answer of stream %q", s.id)
	}
	s.id, s.nextOffset, s.receivedEvent = stream, offset+1, offset > FromStart
	return nil
}

// Next returns the next event, and io.EOF after the engine's done marker. Any
// other error is a *peridotusher.Failure, after which a new call can resume the
// stream.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	s.idle.beginWait()
	event, err := s.read()
	s.idle.endWait()
	s.err = err
	return event, err
}

// read reads events until it finds the one with the next offset. Events of other
// streams and repeated events are discarded and counted.
func (s *Stream) read() (Event, error) {
	for {
		raw, err := s.events.next()
		if err != nil {
			return Event{}, s.fail(err)
		}
		if string(raw.data) == doneMarker {
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
			s.client.discard(DiscardOtherStream)
		case offset < s.nextOffset:
			s.client.discard(DiscardRepeated)
		case offset > s.nextOffset:
			s.client.discard(DiscardEarly)
			return Event{}, s.failWith(peridotusher.CauseEndpointError, errors.Wrapf(ErrMisplacedEvent, "id %q", raw.id))
		default:
			s.events.accept()
			s.nextOffset++
			s.receivedEvent = true
			return Event{id: raw.id, stream: stream, offset: offset, data: raw.data}, nil
		}
	}
}

// end returns io.EOF, or a Failure if the id of the done marker does not belong to
// this stream and its next offset.
func (s *Stream) end(id string) error {
	if id == "" {
		return io.EOF
	}
	stream, offset, err := parseID(id)
	if err != nil {
		return s.failWith(peridotusher.CauseEndpointError, err)
	}
	if stream != s.id || offset != s.nextOffset {
		return s.failWith(peridotusher.CauseEndpointError, errors.Wrapf(ErrMisplacedEvent, "end with id %q", id))
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
	if errors.Is(err, errEventTooLong) || errors.Is(err, errNoEvent) {
		cause = peridotusher.CauseEndpointError
	}
	return s.failWith(cause, err)
}

// failWith returns a Failure whose verdict is Ran once an event was received.
func (s *Stream) failWith(cause peridotusher.Cause, err error) error {
	verdict := peridotusher.MayHaveRun
	if s.receivedEvent {
		verdict = peridotusher.Ran
	}
	return peridotusher.FailWith(verdict, cause, err)
}

// ID returns the stream's id. It is empty until the engine has sent it.
func (s *Stream) ID() string { return s.id }

// LastEventID returns the id for Call.LastEventID that resumes the stream after the
// events that Next has returned, or from the start if there were none. It is empty
// until the engine has sent the stream's id.
func (s *Stream) LastEventID() string {
	if s.id == "" {
		return ""
	}
	return s.id + ":" + strconv.Itoa(s.nextOffset-1)
}

// Cancel asks the engine to stop generating the stream and to release its resources.
func (s *Stream) Cancel(ctx context.Context) error {
	if s.id == "" {
		return peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, "the engine has not named the stream")
	}
	return s.client.CancelStream(ctx, s.address, s.id)
}

// CancelStream asks the engine to stop the stream of the given id. A stream that
// the engine no longer knows counts as canceled.
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

// Close closes the connection. The engine keeps the stream for a while, so that it
// can be resumed.
func (s *Stream) Close() error {
	s.idle.stop()
	s.cancel(nil)
	return s.body.Close()
}
