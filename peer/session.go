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

// session is the connection with one other router.
type session struct {
	peer    peridotusher.Member
	dialer  peridotusher.RouterID
	conn    *countedConn
	traffic *traffic
	receive func(*session, *Envelope) // handles what is not a reply
	orphan  func(*session, *Envelope) // handles replies that nobody waits for
	lanes   [laneCount]*outbox
	done    chan struct{}

	mu      sync.Mutex
	err     error
	closed  bool
	nextID  uint64
	pending map[uint64]chan *Envelope
	view    View
	every   time.Duration // interval of the peer's heartbeats
	used    time.Time     // last message other than a heartbeat

	digests digestStreams
}

func newSession(peer peridotusher.Member, dialer peridotusher.RouterID, conn *countedConn, t *traffic) *session {
	s := &session{
		peer:    peer,
		dialer:  dialer,
		conn:    conn,
		traffic: t,
		done:    make(chan struct{}),
		pending: make(map[uint64]chan *Envelope),
		used:    conn.clock.Now(),
		digests: newDigestStreams(),
	}
	for i := range s.lanes {
		s.lanes[i] = newOutbox(s.done, t)
	}
	return s
}

// pack packs what is sent from now on. It is called before run.
func (s *session) pack() {
	for _, lane := range s.lanes {
		lane.fields = newFieldTable()
	}
}

// run carries messages over the session until it fails or is closed.
func (s *session) run(mux *yamux.Session, streams []*yamux.Stream) error {
	var group errgroup.Group
	group.Go(func() error {
		<-s.done
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

// read handles what arrives on one stream.
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
			s.receive(s, e)
		}
	}
}

// call sends a message and waits for its reply.
func (s *session) call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	id, reply := s.expect()
	err := s.send(ctx, &Envelope{Id: id, Kind: uint32(kind), Body: body})
	if err != nil {
		s.abandon(id)
		return nil, err
	}
	select {
	case e := <-reply:
		return s.result(e)
	case <-ctx.Done():
		err = ctx.Err()
	case <-s.done:
		err = &LinkError{router: s.peer.ID(), sent: true, err: s.cause()}
	}
	if s.abandon(id) {
		return nil, err
	}
	return s.result(<-reply)
}

// result returns a reply's body or its error.
func (s *session) result(e *Envelope) ([]byte, error) {
	if e.GetError() != "" {
		return nil, &RemoteError{router: s.peer.ID(), kind: Kind(e.GetKind()), message: e.GetError()}
	}
	return e.GetBody(), nil
}

// send queues a message on the stream of its kind.
func (s *session) send(ctx context.Context, e *Envelope) error {
	if len(e.GetBody()) > maxBodyBytes {
		return errBodyTooLarge
	}
	if !s.traffic.admits(Kind(e.GetKind())) {
		return errOverBudget
	}
	s.use()
	err := s.lanes[Kind(e.GetKind()).lane()].put(ctx, e)
	if errors.Is(err, errSessionClosed) {
		return &LinkError{router: s.peer.ID(), err: s.cause()}
	}
	return err
}

// offer queues a message on the stream of its kind if there is a place.
func (s *session) offer(e *Envelope) error {
	return s.lanes[Kind(e.GetKind()).lane()].offer(e)
}

// expect returns the number of a new call and the channel of its reply.
func (s *session) expect() (uint64, <-chan *Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	reply := make(chan *Envelope, 1)
	s.pending[s.nextID] = reply
	return s.nextID, reply
}

// abandon forgets a call. It reports false when the reply has been delivered.
func (s *session) abandon(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.pending[id]
	delete(s.pending, id)
	return ok
}

// deliver hands a reply to its call.
func (s *session) deliver(e *Envelope) {
	s.mu.Lock()
	reply, ok := s.pending[e.GetId()]
	delete(s.pending, e.GetId())
	if ok {
		reply <- e
	}
	s.mu.Unlock()
	if !ok {
		s.orphan(s, e)
	}
}

// close ends the session. The first error is kept.
func (s *session) close(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(err)
}

// end ends the session. Its caller holds mu.
func (s *session) end(err error) {
	if s.closed {
		return
	}
	s.closed = true
	s.err = err
	close(s.done)
}

// closeIdle ends the session if no call waits on it and it was last used by
// since. No call begins between the look and the close.
func (s *session) closeIdle(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 && !s.used.After(since) {
		s.end(errIdle)
	}
}

// ended reports whether the session was closed.
func (s *session) ended() bool {
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

// silentSince returns the time of the last byte that arrived.
func (s *session) silentSince() time.Time { return s.conn.lastRead() }

// setView keeps what the peer said of its own state and its next heartbeat.
func (s *session) setView(v View, every time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	s.every = every
}

// announced returns the interval of heartbeats that the peer keeps.
func (s *session) announced() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.every
}

// lastView returns what the peer last said of its own state.
func (s *session) lastView() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}
