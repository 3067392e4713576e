package mesh

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
)

const (
	// sessionTime bounds a fetch of the whole state.
	sessionTime = 1500 * time.Millisecond
	// joinTime bounds the first fetch after the start.
	joinTime = 30 * time.Millisecond
	// lookEvery is the time between two looks for routers that know more.
	lookEvery = 100 * time.Millisecond
	// behindPart and behindRounds are the least time between two fetches of
	// placements that were missed: a part of the time in which all routers get a
	// beat, in a large fleet some times as long.
	behindPart   = 4
	behindRounds = 2
	// differentFor is how long the replicas of two routers may differ at least
	// before one fetches them: changes travel in beats meanwhile.
	differentFor = time.Second
	// largestState bounds the size of a whole state, in bytes.
	largestState = 8 << 20
	// encodedFor is how long an encoded state is handed out again.
	encodedFor = 60 * time.Millisecond
	// sessions bounds the number of sessions served at once.
	sessions = 8
)

// placeOf orders routers for a topic.
func placeOf(topic, name string) uint64 { return xxhash.Sum64String(topic + "\x00" + name) }

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // a session lasts for one fetch
	cfg.LogOutput = io.Discard  // errors are returned by the calls
	return cfg
}

// serve answers fetches until the listener is closed.
func (n *Node) serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
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
			time.Sleep(lookEvery)
			continue
		}
		group.Go(func() error {
			if err := n.answer(c); err != nil {
				n.Log.Event("peer", "address", c.RemoteAddr(), "error", err)
			}
			return nil
		})
	}
}

// answer serves one fetch on a connection.
func (n *Node) answer(c net.Conn) error {
	defer func() { _ = c.Close() }() // the peer has read what it wanted
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
	data, err := n.whole()
	if err != nil {
		return err
	}
	size := binary.BigEndian.AppendUint32(nil, uint32(len(data)))
	if _, err := stream.Write(append(size, data...)); err != nil {
		return err
	}
	n.traffic.state(len(data))
	_, _ = stream.Read(make([]byte, 1)) // ends when the peer has read everything and closes
	return nil
}

// whole returns the encoded state. A configuration is fetched by many routers at
// once, so the encoding is kept for a moment.
func (n *Node) whole() ([]byte, error) {
	n.encodeMu.Lock()
	defer n.encodeMu.Unlock()
	if now := n.Clock.Now(); n.encoded == nil || now.Sub(n.encodedAt) > encodedFor {
		data, err := n.State.Whole().marshal()
		if err != nil {
			return nil, err
		}
		n.encoded, n.encodedAt = data, now
	}
	return n.encoded, nil
}

// fetch gets the whole state of another router.
func (n *Node) fetch(ctx context.Context, address string) (*Whole, error) {
	ctx, cancel := context.WithTimeout(ctx, sessionTime)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
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
	var size [4]byte
	if _, err := io.ReadFull(stream, size[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > largestState {
		return nil, errors.Newf("a state of %d bytes", length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(stream, data); err != nil {
		return nil, err
	}
	w := &Whole{}
	return w, w.unmarshal(data)
}

// catchUp fetches the state of routers that know more, until ctx ends.
func (n *Node) catchUp(ctx context.Context) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	var c catching
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-n.missed:
		}
		lacks := make(map[Lack][]string)
		for _, s := range n.members.alive() {
			lack := n.State.Lacks(s.Summary)
			lacks[lack] = append(lacks[lack], s.Address)
		}
		c.behindPace, c.differentPace = n.behindPace(), max(differentFor, n.CoverTime()+n.SpreadTime())
		from := c.from(n.Clock.Now(), lacks)
		if len(from) > 0 {
			n.fetchFrom(ctx, from[rand.IntN(len(from))])
		}
	}
}

// behindPace is the least time between two fetches of placements that were missed.
func (n *Node) behindPace() time.Duration {
	cover := n.CoverTime()
	if cover > beatEvery {
		return behindRounds * cover
	}
	return cover / behindPart
}

// catching decides when the state of another router is fetched.
type catching struct {
	behind    time.Time // when missed placements were fetched last
	different time.Time // since when replicas differ

	behindPace    time.Duration // between two fetches of missed placements
	differentPace time.Duration // for which replicas may differ
}

// from returns the routers of which one is to be fetched from now, none if that
// can wait.
func (c *catching) from(now time.Time, lacks map[Lack][]string) []string {
	if len(lacks[Different]) == 0 {
		c.different = time.Time{}
	} else if c.different.IsZero() {
		c.different = now
	}
	switch {
	case len(lacks[Newer]) > 0:
		return lacks[Newer]
	case len(lacks[Behind]) > 0 && now.Sub(c.behind) >= c.behindPace:
		c.behind = now
		return lacks[Behind]
	case len(lacks[Different]) > 0 && now.Sub(c.different) > c.differentPace:
		c.different = now
		return lacks[Different]
	}
	return nil
}

// fetchFrom takes the state of another router over and reports whether it could.
func (n *Node) fetchFrom(ctx context.Context, address string) bool {
	w, err := n.fetch(ctx, address)
	if err == nil {
		err = n.State.Take(w)
	}
	if err != nil {
		n.Log.Event("fetch", "address", address, "error", err)
		return false
	}
	n.Log.Event("fetch", "address", address, "revision", w.Revision, "entries", len(w.Entries),
		"placements", len(w.Inventory.Placements))
	return true
}
