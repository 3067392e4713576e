package peer

import (
	"bufio"
	"context"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/cockroachdb/errors"
)

// The bounds of what waits to be written to one stream.
const (
	outboxFrames = 256
	maxBodyBytes = 4 << 20
)

// errOutboxFull means that a message that must not wait found no place.
var errOutboxFull = errors.New("queue of outgoing messages is full")

// frame is an envelope with the time after which it is not worth sending.
type frame struct {
	envelope *Envelope
	deadline time.Time // zero when unlimited
}

// outbox is the bounded queue of one stream. A heartbeat has a place of its
// own, where a newer one replaces it.
type outbox struct {
	frames    chan frame
	heartbeat chan frame
	done      <-chan struct{}
	traffic   *traffic
	fields    *fieldTable // what the other end remembers, nil if it does not unpack
}

func newOutbox(done <-chan struct{}, t *traffic) *outbox {
	return &outbox{
		frames:    make(chan frame, outboxFrames),
		heartbeat: make(chan frame, 1),
		done:      done,
		traffic:   t,
	}
}

// put queues an envelope and waits for a place until ctx ends.
func (o *outbox) put(ctx context.Context, e *Envelope) error {
	deadline, _ := ctx.Deadline()
	select {
	case <-o.done:
		return errSessionClosed
	default:
	}
	select {
	case o.frames <- frame{e, deadline}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-o.done:
		return errSessionClosed
	}
}

// offer queues an envelope if there is a place.
func (o *outbox) offer(e *Envelope) error {
	select {
	case o.frames <- frame{envelope: e}:
		return nil
	default:
		return errOutboxFull
	}
}

// replaceHeartbeat queues a heartbeat in the place of one that still waits.
// Only one goroutine calls it.
func (o *outbox) replaceHeartbeat(e *Envelope) {
	select {
	case <-o.heartbeat:
	default:
	}
	o.heartbeat <- frame{envelope: e}
}

// write sends what is queued until the session ends. Messages that wait
// together are written together.
func (o *outbox) write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	for {
		var f frame
		select {
		case f = <-o.heartbeat:
		case f = <-o.frames:
		case <-o.done:
			return nil
		}
		if err := o.writeFrame(buffered, f); err != nil {
			return err
		}
		if len(o.frames)+len(o.heartbeat) > 0 {
			continue
		}
		if err := buffered.Flush(); err != nil {
			return err
		}
	}
}

// writeFrame writes one envelope with the budget that is left, unless none is.
func (o *outbox) writeFrame(w io.Writer, f frame) error {
	if !f.deadline.IsZero() {
		left := time.Until(f.deadline).Microseconds()
		if left <= 0 {
			return nil
		}
		f.envelope.Budget = uint64(left)
	}
	envelope := f.envelope
	if o.fields != nil {
		envelope = o.fields.pack(envelope)
	}
	size, err := protodelim.MarshalTo(w, envelope)
	if err != nil {
		return err
	}
	o.traffic.addSent(Kind(f.envelope.GetKind()), size)
	return nil
}
