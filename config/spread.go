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
	// fanout is the number of routers to which each router pushes a change in one tree.
	fanout = 3
	// maxDeltaBytes bounds the sections of one message.
	maxDeltaBytes = 128 << 10
)

// wakeSpread makes followPeers push the state in force to the others.
func (s *Source) wakeSpread() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// followPeers spreads what comes into force and fetches what peers have.
func (s *Source) followPeers(ctx context.Context) error {
	pushed := uint64(0)
	ticker := time.NewTicker(s.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-ticker.C:
			s.fetchNewer(ctx)
		}
		if snap := s.current.Load(); snap.Revision() > pushed {
			s.push(ctx, pushed, snap)
			pushed = snap.Revision()
		}
	}
}

// push sends the change to the routers below this one in the revision's tree.
func (s *Source) push(ctx context.Context, since uint64, snap *Snapshot) {
	if since == 0 {
		return
	}
	delta := snap.delta(since, "")
	if delta.GetSince() != since || delta.GetNext() != "" {
		return // too large to push; peers see it in heartbeats and fetch it
	}
	for _, to := range s.children(snap.Revision()) {
		ctx, cancel := context.WithTimeout(ctx, s.Timeout)
		if err := s.Peers.Notify(ctx, to, peer.KindDelta, delta); err != nil {
			s.Log.WithError(err).WithField("peer", to).Debug("change not sent")
		}
		cancel()
	}
}

// children returns the routers to which this one pushes a revision.
func (s *Source) children(revision uint64) []peridotusher.RouterID {
	var live []string
	for _, m := range s.Members.Live(s.Self.Zone()) {
		live = append(live, string(m.ID()))
	}
	return targets(live, string(s.Self.ID()), revision)
}

// targets returns the routers to which one of the live routers of a zone pushes
// a revision. There is one tree for each watcher, with the watcher at its head
// and the others below it, in an order that differs with the revision and is
// reversed in the second tree. So whoever passes a change on in one tree has
// nobody below it in the other, and one router that is gone cuts off nobody.
func targets(live []string, self string, revision uint64) []peridotusher.RouterID {
	watchers := firstRanked(headKey, live)
	others := slices.DeleteFunc(ranked(strconv.FormatUint(revision, 10), live), func(name string) bool {
		return slices.Contains(watchers, name)
	})
	var out []peridotusher.RouterID
	for _, watcher := range watchers {
		for _, child := range below(append([]string{watcher}, others...), self) {
			if !slices.Contains(out, child) {
				out = append(out, child)
			}
		}
		slices.Reverse(others)
	}
	return out
}

// ranked returns the names in the rendezvous order of the key.
func ranked(key string, names []string) []string {
	candidates := make([]peridotusher.Weighted, len(names))
	for i, name := range names {
		candidates[i] = peridotusher.Weighted{Name: name, Weight: 1}
	}
	return peridotusher.Rank(key, candidates)
}

// firstRanked returns the watchers among the names.
func firstRanked(key string, names []string) []string {
	order := ranked(key, names)
	return order[:min(watchersPerZone, len(order))]
}

// below returns the names below a name in a tree.
func below(order []string, name string) []peridotusher.RouterID {
	at := slices.Index(order, name)
	if at < 0 {
		return nil
	}
	var children []peridotusher.RouterID
	for child := at*fanout + 1; child <= at*fanout+fanout && child < len(order); child++ {
		children = append(children, peridotusher.RouterID(order[child]))
	}
	return children
}

// handleDelta takes a change that another router pushes.
func (s *Source) handleDelta(_ context.Context, from peridotusher.RouterID, body []byte) ([]byte, error) {
	delta := &Delta{}
	if err := proto.Unmarshal(body, delta); err != nil {
		return nil, err
	}
	if s.Revision() < delta.GetSince() || delta.GetNext() != "" {
		return nil, nil // followPeers fetches what is missing
	}
	if s.merge(from, delta) == nil {
		s.wakeSpread()
	}
	return nil, nil
}

// merge puts the state that a delta leads to in force.
func (s *Source) merge(from peridotusher.RouterID, delta *Delta) error {
	_, err := s.adopt(string(from), delta.GetHead(), func(now *Snapshot) (*Snapshot, error) {
		return advanced(now, delta.GetHead(), now.differenceOf(delta))
	})
	return err
}

// differenceOf returns the difference that the delta makes here.
func (s *Snapshot) differenceOf(delta *Delta) difference {
	if delta.GetSince() == 0 {
		sections := make(map[string]*Section, len(delta.GetSections()))
		for _, section := range delta.GetSections() {
			sections[section.GetHeader()] = section
		}
		return s.compare(sections)
	}
	d := difference{changed: delta.GetSections()}
	for _, r := range delta.GetRemovals() {
		if old := s.section(r.GetHeader()); old != nil && old.GetVersion() < r.GetVersion() {
			d.removed = append(d.removed, r.GetHeader())
		}
	}
	return d
}

// delta returns what is newer than a revision, or all if the removals since
// then are not known. It begins at the header next and is bounded in size.
func (s *Snapshot) delta(since uint64, next string) *Delta {
	if since < s.horizon {
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

// headersFrom returns the headers from next on, sorted.
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
