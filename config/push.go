package config

import (
	"context"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/peer"
)

const (
	// fanout is the number of routers to which a router pushes a change in each tree.
	fanout = 3
	// maxDeltaBytes bounds the size of the sections in one message.
	maxDeltaBytes = 128 << 10
)

// requestPush makes followPeers push the snapshot in force to other routers.
func (s *Source) requestPush() {
	select {
	case s.pushRequested <- struct{}{}:
	default:
	}
}

// followPeers pushes each new snapshot to other routers and regularly fetches
// newer ones from peers.
func (s *Source) followPeers(ctx context.Context) error {
	pushed := uint64(0)
	ticker := time.NewTicker(s.PeerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.pushRequested:
		case <-ticker.C:
			s.fetchNewer(ctx)
		}
		if snap := s.current.Load(); snap.Revision() > pushed {
			s.push(ctx, pushed, snap)
			pushed = snap.Revision()
		}
	}
}

// push sends the changes since a revision to this router's children in the
// trees of the snapshot's revision.
func (s *Source) push(ctx context.Context, since uint64, snap *Snapshot) {
	if since == 0 {
		return
	}
	delta := snap.delta(since, "")
	if delta.GetSince() != since || delta.GetNext() != "" {
		return // too large to push; peers see the revision in heartbeats and fetch it
	}
	for _, to := range s.children(snap.Revision()) {
		ctx, cancel := context.WithTimeout(ctx, s.Timeout)
		if err := s.Peers.Notify(ctx, to, peer.KindDelta, delta); err != nil {
			s.Log.WithError(err).WithField("peer", to).Debug("change not sent")
		}
		cancel()
	}
}

// children returns the routers to which this router pushes a revision.
func (s *Source) children(revision uint64) []peridotusher.RouterID {
	var live []string
	for _, m := range s.Members.Live(s.Self.Zone()) {
		live = append(live, string(m.ID()))
	}
	return pushTargets(live, string(s.Self.ID()), revision)
}

// pushTargets returns the routers to which self, one of the live routers of a
// zone, pushes a revision. Each watcher is the root of a tree of all routers
// that are not watchers, in an order that depends on the revision and is reversed
// in the second tree. A router that has children in one tree is therefore a leaf in the
// other, and a single departed router keeps the change from nobody else.
func pushTargets(live []string, self string, revision uint64) []peridotusher.RouterID {
	watchers := selectWatchers(headKey, live)
	others := slices.DeleteFunc(rendezvousOrder(strconv.FormatUint(revision, 10), live), func(name string) bool {
		return slices.Contains(watchers, name)
	})
	var out []peridotusher.RouterID
	for _, watcher := range watchers {
		for _, child := range treeChildren(append([]string{watcher}, others...), self) {
			if !slices.Contains(out, child) {
				out = append(out, child)
			}
		}
		slices.Reverse(others)
	}
	return out
}

// rendezvousOrder sorts the names by rendezvous hashing with the key.
func rendezvousOrder(key string, names []string) []string {
	candidates := make([]peridotusher.Weighted, len(names))
	for i, name := range names {
		candidates[i] = peridotusher.Weighted{Name: name, Weight: 1}
	}
	return peridotusher.Rank(key, candidates)
}

// selectWatchers returns the first watchersPerZone names in the order of the key.
func selectWatchers(key string, names []string) []string {
	order := rendezvousOrder(key, names)
	return order[:min(watchersPerZone, len(order))]
}

// treeChildren returns the children of a name in the tree that has the names in
// level order, fanout children to each.
func treeChildren(order []string, name string) []peridotusher.RouterID {
	index := slices.Index(order, name)
	if index < 0 {
		return nil
	}
	var children []peridotusher.RouterID
	for child := index*fanout + 1; child <= index*fanout+fanout && child < len(order); child++ {
		children = append(children, peridotusher.RouterID(order[child]))
	}
	return children
}

// handleDelta adopts a change that another router pushed and pushes it on.
func (s *Source) handleDelta(_ context.Context, from peridotusher.RouterID, body []byte) ([]byte, error) {
	delta := &Delta{}
	if err := proto.Unmarshal(body, delta); err != nil {
		return nil, err
	}
	if s.Revision() < delta.GetSince() || delta.GetNext() != "" {
		return nil, nil // followPeers fetches what is missing
	}
	if s.adoptDelta(from, delta) == nil {
		s.requestPush()
	}
	return nil, nil
}

// adoptDelta applies a delta and puts the resulting snapshot in force.
func (s *Source) adoptDelta(from peridotusher.RouterID, delta *Delta) error {
	_, err := s.adopt(string(from), delta.GetHead(), func(current *Snapshot) (*Snapshot, error) {
		return applyDifference(current, delta.GetHead(), current.differenceFromDelta(delta))
	})
	return err
}

// differenceFromDelta returns the difference that the delta makes to this snapshot.
func (s *Snapshot) differenceFromDelta(delta *Delta) difference {
	if delta.GetSince() == 0 {
		sections := make(map[string]*Section, len(delta.GetSections()))
		for _, section := range delta.GetSections() {
			sections[section.GetHeader()] = section
		}
		return s.differenceTo(sections)
	}
	d := difference{changed: delta.GetSections()}
	for _, r := range delta.GetRemovals() {
		if old := s.section(r.GetHeader()); old != nil && old.GetVersion() < r.GetVersion() {
			d.removed = append(d.removed, r.GetHeader())
		}
	}
	return d
}

// delta returns the sections that are newer than a revision, or all sections if
// the removals since then are no longer known. It begins at the header next and
// is bounded in size; its own next is the header at which the following chunk
// begins.
func (s *Snapshot) delta(since uint64, next string) *Delta {
	if since < s.removalsKnownSince {
		since = 0
	}
	delta := &Delta{Since: since, Head: s.head}
	if since > 0 {
		for _, r := range s.removals {
			if r.GetVersion() > since && s.section(r.GetHeader()) == nil {
				delta.Removals = append(delta.Removals, r)
			}
		}
	}
	bytes := 0
	for _, header := range s.headersFrom(next) {
		section := s.sections[header]
		if section.GetVersion() <= since {
			continue
		}
		if bytes += len(section.GetText()) + len(header); bytes > maxDeltaBytes && len(delta.Sections) > 0 {
			delta.Next = header
			return delta
		}
		delta.Sections = append(delta.Sections, section)
	}
	return delta
}

// headersFrom returns the sorted headers, beginning at next.
func (s *Snapshot) headersFrom(next string) []string {
	var headers []string
	for header := range s.sections {
		if header >= next {
			headers = append(headers, header)
		}
	}
	slices.Sort(headers)
	return headers
}
