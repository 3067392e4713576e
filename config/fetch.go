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
	errNoState = errors.New("no configuration in force")
	errMoved   = errors.New("the peer's configuration changed during the fetch")
)

// fetchNewer asks the peer with the highest revision for what is missing here.
func (s *Source) fetchNewer(ctx context.Context) {
	views := s.Peers.PeerStates()
	best := s.Revision()
	var from []peridotusher.RouterID
	for _, id := range slices.Sorted(maps.Keys(views)) {
		switch revision := views[id].Revision; {
		case s.refused(revision):
		case revision > best:
			best, from = revision, []peridotusher.RouterID{id}
		case revision == best && best > s.Revision():
			from = append(from, id)
		}
	}
	if len(from) == 0 {
		return
	}
	id := from[int(s.Rand()*float64(len(from)))]
	if err := s.fetch(ctx, id); err != nil {
		s.Log.WithError(err).WithField("peer", id).Debug("configuration not fetched")
	}
}

// fetch takes the state of one router. If its changes do not lead to its
// state here, the whole state is taken.
func (s *Source) fetch(ctx context.Context, id peridotusher.RouterID) error {
	delta, err := s.fetchSince(ctx, id, s.Revision())
	if err != nil {
		return err
	}
	err = s.merge(id, delta)
	if errors.Is(err, errHash) && delta.GetSince() > 0 {
		if delta, err = s.fetchSince(ctx, id, 0); err != nil {
			return err
		}
		err = s.merge(id, delta)
	}
	return err
}

// fetchSince collects the parts of a router's answer.
func (s *Source) fetchSince(ctx context.Context, id peridotusher.RouterID, since uint64) (*Delta, error) {
	whole, err := s.fetchPart(ctx, id, &Fetch{Since: since})
	if err != nil {
		return nil, err
	}
	for whole.GetNext() != "" {
		part, err := s.fetchPart(ctx, id, &Fetch{Since: since, Next: whole.GetNext()})
		if err != nil {
			return nil, err
		}
		if part.GetHead().GetRevision() != whole.GetHead().GetRevision() || part.GetSince() != whole.GetSince() {
			return nil, errMoved
		}
		whole.Sections = append(whole.Sections, part.GetSections()...)
		whole.Next = part.GetNext()
	}
	return whole, nil
}

func (s *Source) fetchPart(ctx context.Context, id peridotusher.RouterID, ask *Fetch) (*Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	part := &Delta{}
	err := s.Peers.Call(ctx, id, peer.KindFetch, ask, part)
	return part, err
}

// handleFetch answers with a part of this router's state.
func (s *Source) handleFetch(_ context.Context, _ peridotusher.RouterID, body []byte) ([]byte, error) {
	ask := &Fetch{}
	if err := proto.Unmarshal(body, ask); err != nil {
		return nil, err
	}
	snap := s.current.Load()
	if snap == nil {
		return nil, errNoState
	}
	return proto.Marshal(snap.delta(ask.GetSince(), ask.GetNext()))
}
