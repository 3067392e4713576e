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
	// fetchTimeout bounds the duration of a fetch, on both sides.
	fetchTimeout = 1500 * time.Millisecond
	// dialTimeout bounds the set-up of a connection for a fetch: a router behind a broken link
	// does not refuse the connection.
	dialTimeout = 400 * time.Millisecond
	// joinTimeout bounds the first fetch after the start.
	joinTimeout = 30 * time.Millisecond
	// acceptRetryDelay is the pause before another accept after one failed.
	acceptRetryDelay = 100 * time.Millisecond
	// maxStateSize bounds the size of a response and of the configuration in it, in bytes.
	maxStateSize = 8 << 20
	// maxRequestSize bounds the size of a request for state, in bytes.
	maxRequestSize = 64 << 10
	// maxSessions bounds the number of sessions that are served at once.
	maxSessions = 8
	// acceptBacklog bounds the number of streams of a session that wait to be accepted. Each of them can hold a
	// window of data, and a fetch opens one.
	acceptBacklog = 1
)

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = false // a session lasts for one fetch
	cfg.LogOutput = io.Discard  // errors are returned by the calls
	return cfg
}

// serve responds to fetches until the listener is closed.
func (n *Node) serve(ctx context.Context, l net.Listener) error {
	var group errgroup.Group // its functions return no errors
	group.SetLimit(maxSessions)
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
			time.Sleep(acceptRetryDelay)
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
	defer recoverError(&err)
	defer func() { _ = c.Close() }() // the peer has read the response
	if err := c.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
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
	body, err := readFrame(stream, maxRequestSize)
	if err != nil {
		return err
	}
	var request SyncRequest
	if err := request.unmarshal(body); err != nil {
		return err
	}
	data, err := n.respond(request).marshal(&n.compression)
	if err != nil {
		return err
	}
	if err := writeFrame(stream, data); err != nil {
		return err
	}
	n.traffic.countState(len(data))
	_, _ = stream.Read(make([]byte, 1)) // returns when the peer has read the response and closes the session
	return nil
}

// respond returns the response to a request. It contains only the format if the request is of
// another one.
func (n *Node) respond(request SyncRequest) *SyncResponse {
	response := &SyncResponse{}
	if request.Format == format {
		response = n.State.Respond(request)
	}
	response.Format = format
	return response
}

// unmarshalResponse decodes the response of another router.
func unmarshalResponse(data []byte) (*SyncResponse, error) {
	response := &SyncResponse{}
	err := response.unmarshal(data)
	if response.Format != format {
		return nil, errFormat
	}
	return response, err
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
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()                         // the response was read
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
	data, err := readFrame(stream, maxStateSize)
	if err != nil {
		return nil, err
	}
	return unmarshalResponse(data)
}

// fetchFrom fetches missing state from another router, applies it and returns it; nil if that
// failed.
func (n *Node) fetchFrom(ctx context.Context, address string, staleness Staleness) *SyncResponse {
	requestedAt := n.Clock.Now()
	response, err := n.fetch(ctx, address, n.State.Request(staleness))
	if err == nil {
		delayEntries(response.Entries, n.Clock.Now().Sub(requestedAt))
		err = n.apply(response)
	}
	if err != nil {
		n.Log.Event("fetch", "address", address, "error", err)
		return nil
	}
	n.Log.Event("fetch", "address", address, "version", response.Version, "entries", len(response.Entries),
		"placements", len(response.Placements.Placements))
	return response
}

// apply applies the state of another router. It converts a panic into an error.
func (n *Node) apply(response *SyncResponse) (err error) {
	defer recoverError(&err)
	return n.State.Apply(response)
}
