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

// cutsToSuspect is the number of connections cut in a row that make a router suspect.
const cutsToSuspect = 2

// errStaleIncarnation means that a later process of the same router is known.
var errStaleIncarnation = errors.New("a later incarnation of the router is known")

// accept serves the connections of other routers until the listener closes.
func (n *Node) accept(ctx context.Context) error {
	for {
		conn, err := n.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			n.Log.WithError(err).Warn("connection not accepted")
			pause.For(ctx, n.Heartbeat)
			continue
		}
		n.group.Go(func() error {
			_ = n.connect(ctx, conn, false, nil)
			return nil
		})
	}
}

// dialMissing dials the members that have no session and whose backoff is over.
func (n *Node) dialMissing(ctx context.Context) {
	members := n.Members.Targets()
	n.dials.keep(members)
	for _, m := range n.links(members) {
		if m.ID() == n.Self.ID() || n.connected(m) || !n.dials.begin(m.Address()) {
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
	dialer := net.Dialer{Timeout: n.Timeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.Address())
	if err != nil {
		n.dialFailed(m, err)
		return
	}
	err = n.connect(ctx, conn, true, func(id peridotusher.RouterID) { n.dials.succeeded(m.Address(), id) })
	if err != nil {
		n.dialFailed(m, err)
	}
}

// dialFailed records a failed dial. A router without a session is suspect when
// its host refuses the connection, or when connections were cut before its
// Hello a few times in a row, as by a middlebox that finds nobody behind it.
func (n *Node) dialFailed(m peridotusher.Member, err error) {
	failures := n.dials.failed(m.Address(), err)
	defer n.sessions.notify()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	cut := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	if (refused || cut && failures >= cutsToSuspect) && !n.connected(m) {
		n.Members.Suspect(m.ID())
	}
}

// connect makes a session of a connection and serves it until it ends. The
// error is nil once the session was up.
func (n *Node) connect(ctx context.Context, conn net.Conn, dialled bool, up func(peridotusher.RouterID)) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	counted := newCountedConn(conn, n.traffic, n.Clock)
	shaken, peer, err := n.shake(counted, dialled)
	if err != nil {
		n.Log.WithError(err).WithField("address", conn.RemoteAddr()).Warn("handshake failed")
		return err
	}
	mux, streams, err := n.openStreams(shaken, dialled)
	if err != nil {
		return err
	}
	s := n.newSession(peer, dialled, counted, n.packs(shaken.version))
	added := n.sessions.add(s)
	if up != nil {
		up(peer.ID())
	}
	if !added {
		n.sessions.notify() // the older session may end before a waiter has taken it
		return mux.Close()
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

// newSession returns a session whose messages this node handles.
func (n *Node) newSession(peer peridotusher.Member, dialled bool, conn *countedConn, packs bool) *session {
	dialer := peer.ID()
	if dialled {
		dialer = n.Self.ID()
	}
	s := newSession(peer, dialer, conn, n.traffic)
	if packs {
		s.pack()
	}
	s.receive = n.receive
	s.orphan = n.returnOrphan
	return s
}

// openStreams starts yamux. The dialling side opens the streams, in the order
// of the lanes.
func (n *Node) openStreams(conn net.Conn, dialled bool) (*yamux.Session, []*yamux.Stream, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = n.Timeout
	cfg.LogOutput = io.Discard
	start := yamux.Server
	if dialled {
		start = yamux.Client
	}
	mux, err := start(conn, cfg)
	if err != nil {
		return nil, nil, err
	}
	next := mux.AcceptStream
	if dialled {
		next = mux.OpenStream
	}
	streams := make([]*yamux.Stream, laneCount)
	for i := range streams {
		streams[i], err = next()
		if err != nil {
			_ = mux.Close()
			return nil, nil, err
		}
	}
	return mux, streams, nil
}
