package peer

import (
	"bufio"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/cockroachdb/errors"
	"peridotusher.example/peridotusher"
)

// maxHelloBytes limits the size of the Hello, the first message of a connection.
const maxHelloBytes = 4 << 10

// errSelfDialled means that this router dialled its own address.
var errSelfDialled = errors.New("address leads back to this router")

// bufferedConn reads a connection through a buffer.
type bufferedConn struct {
	net.Conn
	r       *bufio.Reader
	version uint32 // protocol version of the peer
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// secureHandshake starts TLS on a connection if it is configured, exchanges
// Hellos and checks that the peer's certificate names the router of its Hello.
func (n *Node) secureHandshake(conn net.Conn, dialled bool) (*bufferedConn, peridotusher.Member, error) {
	var none peridotusher.Member
	secured, err := n.secure(conn, dialled)
	if err != nil {
		return nil, none, err
	}
	buffered, peer, err := n.handshake(secured, dialled)
	if err != nil {
		return nil, none, err
	}
	return buffered, peer, checkCertificateName(secured, peer.ID())
}

// handshake exchanges Hellos and returns the buffered connection, which must be
// used from then on, and the router at its other end. Both sides send their
// Hello before they check versions, so that each can report which of them must
// be upgraded.
func (n *Node) handshake(conn net.Conn, dialled bool) (*bufferedConn, peridotusher.Member, error) {
	var none peridotusher.Member
	if err := conn.SetDeadline(time.Now().Add(n.SuspectTimeout)); err != nil {
		return nil, none, err
	}
	buffered := &bufferedConn{Conn: conn, r: bufio.NewReader(conn)}
	hello, err := n.exchangeHellos(buffered, dialled)
	if err != nil {
		return nil, none, err
	}
	if err := n.checkVersion(hello); err != nil {
		return nil, none, err
	}
	buffered.version = hello.GetVersion()
	id := peridotusher.RouterID(hello.GetRouter())
	if id == n.Self.ID() {
		return nil, none, errSelfDialled
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, none, err
	}
	zone := peridotusher.Zone(hello.GetZone())
	return buffered, peridotusher.NewMember(id, zone, hello.GetAddress(), hello.GetIncarnation()), nil
}

// exchangeHellos sends this router's Hello and reads the peer's. The dialling side
// sends first.
func (n *Node) exchangeHellos(conn *bufferedConn, dialled bool) (*Hello, error) {
	own := &Hello{
		Version:     n.version,
		Oldest:      n.oldest,
		Router:      string(n.Self.ID()),
		Zone:        string(n.Self.Zone()),
		Address:     n.Self.Address(),
		Incarnation: n.Self.Incarnation(),
	}
	if dialled {
		if _, err := protodelim.MarshalTo(conn, own); err != nil {
			return nil, err
		}
	}
	hello := &Hello{}
	read := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}
	if err := read.UnmarshalFrom(conn.r, hello); err != nil {
		return nil, err
	}
	if !dialled {
		if _, err := protodelim.MarshalTo(conn, own); err != nil {
			return nil, err
		}
	}
	return hello, nil
}

// checkVersion returns a VersionError unless each side accepts the other's
// version.
func (n *Node) checkVersion(hello *Hello) error {
	if hello.GetVersion() >= n.oldest && n.version >= hello.GetOldest() {
		return nil
	}
	return &VersionError{
		peer:        peridotusher.RouterID(hello.GetRouter()),
		selfVersion: n.version,
		selfOldest:  n.oldest,
		peerVersion: hello.GetVersion(),
		peerOldest:  hello.GetOldest(),
	}
}
