package mesh

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
)

const (
	// sessionTime bounds a fetch.
	sessionTime = 1500 * time.Millisecond
	// sessionDialTime bounds the set-up of a connection for a fetch: a router behind a cut
	// link does not refuse it.
	sessionDialTime = 400 * time.Millisecond
	// joinTime bounds the first fetch after the start.
	joinTime = 30 * time.Millisecond
	// acceptPause is the pause after a failed accept.
	acceptPause = 100 * time.Millisecond
	// largestState bounds the size of an answer, in bytes.
	largestState = 8 << 20
	// largestRequest bounds the size of a request for state, in bytes.
	largestRequest = 64 << 10
	// sessions bounds the number of sessions served at once.
	sessions = 8
)

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // a session lasts for one fetch
	cfg.LogOutput = io.Discard  // errors are returned by the calls
	return cfg
}

// serve answers fetches until the listener is closed.
func (n *Node) serve(ctx context.Context, l net.Listener) error {
	var group errgroup.Group // its functions return no errors
	group.SetLimit(sessions)
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return group.Wait()
		}
		if err != nil {
			n.Log.Event("peer", "error", err)
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "accept sessions")
			}
			time.Sleep(acceptPause)
			continue
		}
		group.Go(func() error {
			if err := n.serveFetch(c); err != nil {
				n.Log.Event("peer", "address", c.RemoteAddr(), "error", err)
			}
			return nil
		})
	}
}

// serveFetch serves one fetch on a connection: it reads a SyncRequest and writes a
// SyncResponse.
func (n *Node) serveFetch(c net.Conn) (err error) {
	defer caught(&err)
	defer func() { _ = c.Close() }() // the peer has read the response
	if err := c.SetDeadline(time.Now().Add(sessionTime)); err != nil {
		return err
	}
	session, err := yamux.Server(c, sessionConfig())
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	stream, err := session.AcceptStream()
	if err != nil {
		return err
	}
	asked, err := readFrame(stream, largestRequest)
	if err != nil {
		return err
	}
	var request SyncRequest
	if err := request.unmarshal(asked); err != nil {
		return err
	}
	data, err := n.respond(request).marshal(&n.packer)
	if err != nil {
		return err
	}
	if err := writeFrame(stream, data); err != nil {
		return err
	}
	n.traffic.state(len(data))
	_, _ = stream.Read(make([]byte, 1)) // ends when the peer has read everything and closes
	return nil
}

// respond returns the response to a request; it holds only the format if the request is of
// another one.
func (n *Node) respond(request SyncRequest) *SyncResponse {
	a := &SyncResponse{}
	if request.Format == format {
		a = n.State.Respond(request)
	}
	a.Format = format
	return a
}

// readResponse decodes the response of another router.
func readResponse(data []byte) (*SyncResponse, error) {
	a := &SyncResponse{}
	err := a.unmarshal(data)
	if a.Format != format {
		return nil, errFormat
	}
	return a, err
}

// writeFrame writes the length of a message and the message.
func writeFrame(w io.Writer, data []byte) error {
	size := binary.BigEndian.AppendUint32(nil, uint32(len(data)))
	_, err := w.Write(append(size, data...))
	return err
}

// readFrame reads a message of at most limit bytes.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if int64(length) > int64(limit) {
		return nil, errors.Newf("a message of %d bytes exceeds %d bytes", length, limit)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(r, data)
	return data, err
}

// fetch requests state from another router.
func (n *Node) fetch(ctx context.Context, address string, request SyncRequest) (*SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, sessionTime)
	defer cancel()
	c, err := (&net.Dialer{Timeout: sessionDialTime}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()                         // everything was read
	defer context.AfterFunc(ctx, func() { _ = c.Close() })() // a pending read ends with an error
	session, err := yamux.Client(c, sessionConfig())
	if err != nil {
		return nil, err
	}
	defer func() { _ = session.Close() }()
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	request.Format = format
	if err := writeFrame(stream, request.marshal()); err != nil {
		return nil, err
	}
	data, err := readFrame(stream, largestState)
	if err != nil {
		return nil, err
	}
	return readResponse(data)
}

// fetchFrom fetches the missing state from another router, applies and returns it; nil if
// that failed.
func (n *Node) fetchFrom(ctx context.Context, address string, staleness Staleness) *SyncResponse {
	a, err := n.fetch(ctx, address, n.State.Request(staleness))
	if err == nil {
		err = n.apply(a)
	}
	if err != nil {
		n.Log.Event("fetch", "address", address, "error", err)
		return nil
	}
	n.Log.Event("fetch", "address", address, "version", a.Version, "entries", len(a.Entries),
		"placements", len(a.Placements.Placements))
	return a
}

// apply applies the state of another router. A panic on it becomes an error.
func (n *Node) apply(a *SyncResponse) (err error) {
	defer caught(&err)
	return n.State.Apply(a)
}
