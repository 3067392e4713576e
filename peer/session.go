package peer

import (
	"bufio"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

var (
	errSessionClosed = errors.New("session closed")
	errSilent        = errors.New("peer was silent for the timeout")
	errReplaced      = errors.New("session replaced by another to the same router")
	errBodyTooLarge  = errors.New("message too large")
)

// session is the connection with another router.
type session struct {
	peer            peridotusher.Member
	dialer          peridotusher.RouterID
	conn            *countedConn
	traffic         *traffic
	handleMessage   func(*session, *Envelope) // handles messages other than replies
	handleLateReply func(*session, *Envelope) // handles replies to canceled calls
	lanes           [laneCount]*outbox
	done            chan struct{}
	draining        chan struct{} // closed when no more calls and messages may start
	drainTimeout    time.Duration // longest time from the start of draining to the end

	mu          sync.Mutex
	err         error
	closed      bool
	nextID      uint64
	pending     map[uint64]chan *Envelope
	sending     int  // messages without a reply that are being put into a queue; they may be unwritten when it is 0
	peerDrained bool // whether the peer has no pending calls and starts none
	state       ReportedState
	interval    time.Duration // interval of the peer's heartbeats
	lastUsed    time.Time     // time of the last message other than a heartbeat or digest

	digests digestStates
}

func newSession(peer peridotusher.Member, dialer peridotusher.RouterID, conn *countedConn, t *traffic) *session {
	s := &session{
		peer:     peer,
		dialer:   dialer,
		conn:     conn,
		traffic:  t,
		done:     make(chan struct{}),
		draining: make(chan struct{}),
		pending:  make(map[uint64]chan *Envelope),
		lastUsed: conn.clock.Now(),
		digests:  newDigestStates(),
	}
	for i := range s.lanes {
		s.lanes[i] = newOutbox(s.done, t)
	}
	return s
}

// enablePacking makes the session pack the fields of the messages that it sends.
// It must be called before run.
func (s *session) enablePacking() {
	for _, lane := range s.lanes {
		lane.fields = newFieldTable()
	}
}

// run reads and writes messages until the session fails or is closed.
func (s *session) run(mux *yamux.Session, streams []*yamux.Stream) error {
	var group errgroup.Group
	group.Go(func() error {
		s.awaitEnd()
		return mux.Close()
	})
	for i, stream := range streams {
		group.Go(func() error {
			err := s.lanes[i].write(stream)
			s.close(err)
			return err
		})
		group.Go(func() error {
			err := s.read(stream)
			s.close(err)
			return err
		})
	}
	_ = group.Wait()
	return s.cause()
}

// read handles the messages that arrive on one stream.
func (s *session) read(r io.Reader) error {
	buffered := bufio.NewReader(r)
	fields := newFieldTable()
	read := protodelim.UnmarshalOptions{MaxSize: maxBodyBytes + maxHelloBytes}
	for {
		e := &Envelope{}
		if err := read.UnmarshalFrom(buffered, e); err != nil {
			return err
		}
		s.traffic.addReceived(Kind(e.GetKind()), protowire.SizeBytes(proto.Size(e)))
		if err := fields.unpack(e); err != nil {
			return err
		}
		if e.GetReply() {
			s.deliver(e)
		} else {
			s.handleMessage(s, e)
		}
	}
}

// call sends a message and waits for its reply.
func (s *session) call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	id, reply, err := s.registerCall()
	if err != nil {
		return nil, err
	}
	err = s.queue(ctx, &Envelope{Id: id, Kind: uint32(kind), Body: body})
	if err != nil {
		s.cancelCall(id)
		return nil, err
	}
	select {
	case e := <-reply:
		return s.replyBody(e)
	case <-ctx.Done():
		err = ctx.Err()
	case <-s.done:
		err = &ConnectionError{router: s.peer.ID(), sent: true, err: s.cause()}
	}
	if s.cancelCall(id) {
		return nil, err
	}
	return s.replyBody(<-reply)
}

// replyBody returns the body of a reply, or its error as a RemoteError.
func (s *session) replyBody(e *Envelope) ([]byte, error) {
	if e.GetError() != "" {
		return nil, &RemoteError{router: s.peer.ID(), kind: Kind(e.GetKind()), message: e.GetError()}
	}
	return e.GetBody(), nil
}

// send queues a message that has no reply on the stream of its kind.
func (s *session) send(ctx context.Context, e *Envelope) error {
	if err := s.beginSend(); err != nil {
		return err
	}
	defer s.endSend()
	return s.queue(ctx, e)
}

// queue queues a message on the stream of its kind.
func (s *session) queue(ctx context.Context, e *Envelope) error {
	if len(e.GetBody()) > maxBodyBytes {
		return errBodyTooLarge
	}
	if !s.traffic.admits(Kind(e.GetKind())) {
		return errOverBudget
	}
	s.markUsed()
	err := s.lanes[Kind(e.GetKind()).lane()].put(ctx, e)
	if errors.Is(err, errSessionClosed) {
		return &ConnectionError{router: s.peer.ID(), err: s.cause()}
	}
	return err
}

// offer queues a message on the stream of its kind, or fails if the queue is
// full.
func (s *session) offer(e *Envelope) error {
	return s.lanes[Kind(e.GetKind()).lane()].offer(e)
}

// registerCall returns the ID of a new call and the channel of its reply. It fails
// if no more calls may start.
func (s *session) registerCall() (uint64, <-chan *Envelope, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.usableLocked() {
		return 0, nil, &ConnectionError{router: s.peer.ID(), err: s.err}
	}
	s.nextID++
	reply := make(chan *Envelope, 1)
	s.pending[s.nextID] = reply
	return s.nextID, reply, nil
}

// cancelCall removes a call. It reports false if the reply was already delivered.
func (s *session) cancelCall(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.pending[id]
	delete(s.pending, id)
	s.finishDrainLocked()
	return ok
}

// deliver passes a reply to its call, or to handleLateReply if the call was
// canceled.
func (s *session) deliver(e *Envelope) {
	s.mu.Lock()
	reply, ok := s.pending[e.GetId()]
	delete(s.pending, e.GetId())
	if ok {
		reply <- e
		s.finishDrainLocked()
	}
	s.mu.Unlock()
	if !ok {
		s.handleLateReply(s, e)
	}
}

// close ends the session. Only the error of the first close or drain is kept.
func (s *session) close(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked(err)
}

// closeLocked is close for callers that hold mu.
func (s *session) closeLocked(err error) {
	if s.closed {
		return
	}
	if s.usableLocked() {
		s.err = err
	}
	s.closed = true
	close(s.done)
}

// isClosed reports whether the session has ended.
func (s *session) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// cause returns the error that ended the session.
func (s *session) cause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// lastReceived returns the time at which bytes last arrived.
func (s *session) lastReceived() time.Time { return s.conn.lastRead() }

// setPeerState stores the state that the peer reported of itself and the interval
// of its heartbeats.
func (s *session) setPeerState(v ReportedState, interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = v
	s.interval = interval
}

// peerInterval returns the interval of heartbeats that the peer announced.
func (s *session) peerInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interval
}

// peerState returns the state that the peer last reported of itself.
func (s *session) peerState() ReportedState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}
