package peer

import (
	"bufio"
	"context"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/cockroachdb/errors"
)

// The limits of the messages queued for one stream.
const (
	maxOutboxFrames = 256
	maxBodyBytes    = 4 << 20
)

// errOutboxFull means that a message was dropped because its queue had no free
// slot.
var errOutboxFull = errors.New("queue of outgoing messages is full")

// frame is a queued envelope with the deadline of its call.
type frame struct {
	envelope *Envelope
	deadline time.Time // after it the envelope is not sent; zero when unlimited
}

// outbox is the bounded queue of one stream. Heartbeats have a separate slot, in
// which a newer one replaces one that is still queued.
type outbox struct {
	frames    chan frame
	heartbeat chan frame
	done      <-chan struct{}
	traffic   *traffic
	fields    *fieldTable // fields that the peer remembers; nil if it does not support packing
}

func newOutbox(done <-chan struct{}, t *traffic) *outbox {
	return &outbox{
		frames:    make(chan frame, maxOutboxFrames),
		heartbeat: make(chan frame, 1),
		done:      done,
		traffic:   t,
	}
}

// put queues an envelope. If the queue is full, it waits for a free slot until
// ctx ends.
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

// offer queues an envelope, or fails if the queue is full.
func (o *outbox) offer(e *Envelope) error {
	select {
	case o.frames <- frame{envelope: e}:
		return nil
	default:
		return errOutboxFull
	}
}

// replaceHeartbeat queues a heartbeat in place of one that is still queued. It
// must be called from one goroutine only.
func (o *outbox) replaceHeartbeat(e *Envelope) {
	select {
	case <-o.heartbeat:
	default:
	}
	o.heartbeat <- frame{envelope: e}
}

// write writes queued messages until the session ends. It flushes once the
// queue is empty.
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

// writeFrame writes one envelope with the time that remains until its deadline.
// It drops an envelope whose deadline has passed.
func (o *outbox) writeFrame(w io.Writer, f frame) error {
	if !f.deadline.IsZero() {
		remaining := time.Until(f.deadline).Microseconds()
		if remaining <= 0 {
			return nil
		}
		f.envelope.Budget = uint64(remaining)
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
