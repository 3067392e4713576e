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
	// sessionTime bounds a fetch.
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
	// largestState bounds the size of an answer, in bytes.
	largestState = 8 << 20
	// largestWant bounds the size of what a router asks for, in bytes.
	largestWant = 64 << 10
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

// answer serves one fetch on a connection: the peer says what it wants and gets it.
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
	asked, err := readFrame(stream, largestWant)
	if err != nil {
		return err
	}
	var want Want
	if err := want.unmarshal(asked); err != nil {
		return err
	}
	data, err := n.reply(want).marshal(&n.packer)
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

// reply returns what a router is told that wants something; only the form, if that is
// another one.
func (n *Node) reply(want Want) *Answer {
	a := &Answer{}
	if want.Format == format {
		a = n.State.Answer(want)
	}
	a.Format = format
	return a
}

// readAnswer decodes what another router told.
func readAnswer(data []byte) (*Answer, error) {
	a := &Answer{}
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
		return nil, errors.Newf("a message of %d bytes", length)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(r, data)
	return data, err
}

// fetch gets the state that this router wants from another one.
func (n *Node) fetch(ctx context.Context, address string, want Want) (*Answer, error) {
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
	want.Format = format
	if err := writeFrame(stream, want.marshal()); err != nil {
		return nil, err
	}
	data, err := readFrame(stream, largestState)
	if err != nil {
		return nil, err
	}
	return readAnswer(data)
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
		for _, s := range sameFormat(n.members.alive()) {
			lack := n.State.Lacks(s.Summary)
			lacks[lack] = append(lacks[lack], s.Address)
		}
		c.behindPace, c.differentPace = n.behindPace(), max(differentFor, n.CoverTime()+n.SpreadTime())
		lack := c.next(n.Clock.Now(), lacks)
		if from := lacks[lack]; lack != Nothing && len(from) > 0 {
			n.fetchFrom(ctx, from[rand.IntN(len(from))], lack)
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

// next returns what is to be fetched now of what routers have that this one lacks;
// Nothing if that can wait.
func (c *catching) next(now time.Time, lacks map[Lack][]string) Lack {
	if len(lacks[Different]) == 0 {
		c.different = time.Time{}
	} else if c.different.IsZero() {
		c.different = now
	}
	switch {
	case len(lacks[Newer]) > 0:
		return Newer
	case len(lacks[Behind]) > 0 && now.Sub(c.behind) >= c.behindPace:
		c.behind = now
		return Behind
	case len(lacks[Different]) > 0 && now.Sub(c.different) > c.differentPace:
		c.different = now
		return Different
	}
	return Nothing
}

// fetchFrom takes over from another router what this one lacks, and returns it; nil
// if it could not.
func (n *Node) fetchFrom(ctx context.Context, address string, lack Lack) *Answer {
	a, err := n.fetch(ctx, address, n.State.Want(lack))
	if err == nil {
		err = n.State.Take(a)
	}
	if err != nil {
		n.Log.Event("fetch", "address", address, "error", err)
		return nil
	}
	n.Log.Event("fetch", "address", address, "revision", a.Revision, "entries", len(a.Entries),
		"placements", len(a.Inventory.Placements))
	return a
}
