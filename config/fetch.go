package config

import (
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/peer"
)

var (
	errNoState     = errors.New("no configuration in force")
	errPeerChanged = errors.New("the revision of the peer's configuration changed between two chunks")
)

// fetchNewer fetches the changes since this router's revision from the peer with
// the highest revision, if that is higher. Among several it picks one at random.
func (s *Source) fetchNewer(ctx context.Context) {
	states := s.Peers.PeerStates()
	highest := s.Revision()
	var candidates []peridotusher.RouterID
	for _, id := range slices.Sorted(maps.Keys(states)) {
		switch revision := states[id].Revision; {
		case s.isRefused(revision):
		case revision > highest:
			highest, candidates = revision, []peridotusher.RouterID{id}
		case revision == highest && highest > s.Revision():
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return
	}
	id := candidates[int(s.Rand()*float64(len(candidates)))]
	if err := s.fetch(ctx, id); err != nil {
		s.Log.WithError(err).WithField("peer", id).Debug("configuration not fetched")
	}
}

// fetch fetches the changes since this router's revision from another router and
// adopts them. If they do not lead to the other's state, for example because the
// two held different states of the same revision, the complete state is fetched.
func (s *Source) fetch(ctx context.Context, id peridotusher.RouterID) error {
	delta, err := s.fetchSince(ctx, id, s.Revision())
	if err != nil {
		return err
	}
	err = s.adoptDelta(id, delta)
	if errors.Is(err, errHashMismatch) && delta.GetSince() > 0 {
		if delta, err = s.fetchSince(ctx, id, 0); err != nil {
			return err
		}
		err = s.adoptDelta(id, delta)
	}
	return err
}

// fetchSince fetches a delta chunk by chunk.
func (s *Source) fetchSince(ctx context.Context, id peridotusher.RouterID, since uint64) (*Delta, error) {
	delta, err := s.fetchChunk(ctx, id, &Fetch{Since: since})
	if err != nil {
		return nil, err
	}
	for delta.GetNext() != "" {
		chunk, err := s.fetchChunk(ctx, id, &Fetch{Since: since, Next: delta.GetNext()})
		if err != nil {
			return nil, err
		}
		if chunk.GetHead().GetRevision() != delta.GetHead().GetRevision() || chunk.GetSince() != delta.GetSince() {
			return nil, errPeerChanged
		}
		delta.Sections = append(delta.Sections, chunk.GetSections()...)
		delta.Next = chunk.GetNext()
	}
	return delta, nil
}

// fetchChunk requests one chunk of a delta.
func (s *Source) fetchChunk(ctx context.Context, id peridotusher.RouterID, request *Fetch) (*Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	chunk := &Delta{}
	err := s.Peers.Call(ctx, id, peer.KindFetch, request, chunk)
	return chunk, err
}

// handleFetch answers a peer's request with one chunk of this router's state.
func (s *Source) handleFetch(_ context.Context, _ peridotusher.RouterID, body []byte) ([]byte, error) {
	request := &Fetch{}
	if err := proto.Unmarshal(body, request); err != nil {
		return nil, err
	}
	snap := s.current.Load()
	if snap == nil {
		return nil, errNoState
	}
	return proto.Marshal(snap.delta(request.GetSince(), request.GetNext()))
}
