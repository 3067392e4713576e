package peer

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/pause"
)

// resetsToSuspect is the number of consecutive connections closed during the
// handshake after which a router becomes suspect.
const resetsToSuspect = 2

// errStaleIncarnation means that the peer's process is older than one already
// known for the same router.
var errStaleIncarnation = errors.New("a later incarnation of the router is known")

// acceptConns serves the connections of other routers until the listener closes.
func (n *Node) acceptConns(ctx context.Context) error {
	for {
		conn, err := n.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			n.Log.WithError(err).Warn("cannot accept connection")
			pause.For(ctx, n.HeartbeatInterval)
			continue
		}
		done := n.pending.add(conn)
		n.group.Go(func() error {
			defer done()
			_ = n.serveConn(ctx, conn, false, func(peridotusher.RouterID) { done() })
			return nil
		})
	}
}

// dialMissingSessions dials the link targets that have no session and whose
// backoff has ended.
func (n *Node) dialMissingSessions(ctx context.Context) {
	members := n.Members.Targets()
	n.dials.retainMembers(members)
	for _, m := range n.linkTargets(members) {
		if m.ID() == n.Self.ID() || n.connected(m) || !n.dials.tryStart(m.Address()) {
			continue
		}
		n.group.Go(func() error {
			n.dial(ctx, m)
			return nil
		})
	}
}

// connected reports whether there is a session with the member, or with the
// router that answered at its address.
func (n *Node) connected(m peridotusher.Member) bool {
	if _, ok := n.sessions.get(m.ID()); ok {
		return true
	}
	_, ok := n.sessions.get(n.dials.routerAt(m.Address()))
	return ok
}

// dial connects to a member and serves the session until it ends.
func (n *Node) dial(ctx context.Context, m peridotusher.Member) {
	dialer := net.Dialer{Timeout: n.SuspectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.Address())
	if err != nil {
		n.dialFailed(m, err)
		return
	}
	err = n.serveConn(ctx, conn, true, func(id peridotusher.RouterID) { n.dials.succeeded(m.Address(), id) })
	if err != nil {
		n.dialFailed(m, err)
	}
}

// dialFailed records a failed dial. A router without a session becomes suspect
// when its host refuses the connection, or after resetsToSuspect consecutive
// connections that were closed before its Hello, as a middlebox does when it
// has no back end to connect to.
func (n *Node) dialFailed(m peridotusher.Member, err error) {
	failures := n.dials.failed(m.Address(), err)
	defer n.sessions.notify()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	reset := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	if (refused || reset && failures >= resetsToSuspect) && !n.connected(m) {
		n.Members.MarkSuspect(m.ID())
	}
}

// serveConn establishes a session on a connection and serves it until it ends.
// It returns an error only if no session was established. If onSession is set,
// it is called with the peer's ID once the handshake is done.
func (n *Node) serveConn(ctx context.Context, conn net.Conn, dialled bool, onSession func(peridotusher.RouterID)) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	counted := newCountedConn(conn, n.traffic, n.Clock)
	established, peer, err := n.secureHandshake(counted, dialled)
	if err != nil {
		n.Log.WithError(err).WithField("address", conn.RemoteAddr()).Warn("handshake failed")
		return err
	}
	mux, streams, err := n.openStreams(established, dialled)
	if err != nil {
		return err
	}
	s := n.newSession(peer, dialled, counted, n.packsFieldsFor(established.version))
	added := n.sessions.add(s)
	if onSession != nil {
		onSession(peer.ID())
	}
	if !added {
		n.sessions.notify() // wakes waiters: the older session may end before they use it
		// The peer may have begun calls on this session, so it is served until they are answered.
		s.drain(errReplaced)
	}
	defer n.sessions.remove(s)
	if !n.Members.ReceiveHeartbeat(peer) {
		_ = mux.Close()
		return errStaleIncarnation
	}
	if ctx.Err() != nil {
		s.close(ctx.Err())
	}
	log := n.Log.WithField("peer", peer.ID()).WithField("zone", peer.Zone())
	log.Info("session up")
	err = s.run(mux, streams)
	log.WithField("cause", err).Info("session down")
	return nil
}

// newSession returns a session whose incoming messages this node handles.
func (n *Node) newSession(peer peridotusher.Member, dialled bool, conn *countedConn, packs bool) *session {
	dialer := peer.ID()
	if dialled {
		dialer = n.Self.ID()
	}
	s := newSession(peer, dialer, conn, n.traffic)
	if packs {
		s.enablePacking()
	}
	s.drainTimeout = n.SuspectTimeout
	s.handleMessage = n.receive
	s.handleLateReply = n.releaseLatePermit
	return s
}

// openStreams starts yamux. The dialling side opens the streams, in the order
// of the lanes.
func (n *Node) openStreams(conn net.Conn, dialled bool) (*yamux.Session, []*yamux.Stream, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = n.SuspectTimeout
	cfg.LogOutput = io.Discard
	newMux := yamux.Server
	if dialled {
		newMux = yamux.Client
	}
	mux, err := newMux(conn, cfg)
	if err != nil {
		return nil, nil, err
	}
	nextStream := mux.AcceptStream
	if dialled {
		nextStream = mux.OpenStream
	}
	streams := make([]*yamux.Stream, laneCount)
	for i := range streams {
		streams[i], err = nextStream()
		if err != nil {
			_ = mux.Close()
			return nil, nil, err
		}
	}
	return mux, streams, nil
}
