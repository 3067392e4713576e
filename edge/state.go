package edge

import (
	"slices"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// changesMost and reportsMost are the numbers of changes of replicas and of their
// reports in a heartbeat.
const (
	changesMost = 32
	reportsMost = 16
)

// updateTTL is the least time for which updates are published: several heartbeats, since one
// may be dropped. A router of a large fleet publishes them until all have got a heartbeat; one
// that missed it notices by the numbers of placements, and counts are sums.
const updateTTL = time.Second

// changesTTL bounds how long a change of a replica is published: each router that
// receives it propagates it.
const changesTTL = 2 * time.Second

// state implements mesh.State with the router's tables.
type state struct{ r *Router }

// Fill implements mesh.State.
func (s state) Fill(b *mesh.Heartbeat) {
	r := s.r
	b.Configuration = r.current.Version()
	b.Epoch = r.epoch.store().Epoch
	b.Digest = r.table.Digest()
	b.ReadAge, b.OutageAge, b.ReaderScore = r.reading.ages(r.clock.Now())
	b.Stopping, b.Ready = r.stopping.Load() != nil, r.Ready()
	ttl := max(updateTTL, r.node.CoverTime()+r.node.SpreadTime())
	b.Counts = r.table.Counts(ttl)
	b.Reports = r.table.Reports(reportsMost)
	b.Changes = r.table.RecentChanges(changesMost, min(ttl, changesTTL))
	b.Evacuations = r.evacuations()
	b.Settled = r.settled.Load()
	b.Reads = r.reads.Own()
	b.Delta = r.directory.Recent(ttl)
}

// Merge implements mesh.State.
func (s state) Merge(b *mesh.Heartbeat) {
	r := s.r
	current := r.notePeer(peridotusher.Position{Epoch: b.Epoch}, b.Name)
	r.evacuateFromPeer(b.Evacuations, b.Name)
	if len(b.Changes) > 0 {
		r.changed(b.Name, r.table.Merge(b.Changes))
	}
	if current {
		r.mergeReading(b.ReadAge, b.OutageAge, b.ReaderScore)
	}
	r.table.MergeCounts(b.Name, b.Incarnation, b.Counts)
	r.table.MergeReports(b.Reports)
	r.reads.Merge(b.Name, b.Reads)
	r.directory.Merge(placing.Origin{Name: b.Name, Incarnation: b.Incarnation}, b.Delta)
}

// Request implements mesh.State. A newer configuration has to be in force soon, so
// that nothing else is asked for with it.
func (s state) Request(staleness mesh.Staleness) mesh.SyncRequest {
	request := mesh.SyncRequest{Version: s.r.current.Version(), Placements: staleness == mesh.PlacementsMissed}
	if staleness != mesh.ConfigurationOutdated || !s.r.listed.Load() {
		request.Replicas = s.r.table.BucketDigests()
	}
	return request
}

// Respond implements mesh.State.
func (s state) Respond(request mesh.SyncRequest) *mesh.SyncResponse {
	a := &mesh.SyncResponse{Entries: s.r.table.DifferingEntries(request.Replicas), Store: s.r.epoch.store(), Evacuations: s.r.table.Evacuations()}
	if len(request.Replicas) > 0 {
		a.ReadAge, a.OutageAge, _ = s.r.reading.ages(s.r.clock.Now())
		a.Complete = s.r.table.Complete()
	}
	if request.Placements {
		a.Settled = s.r.settled.Load()
		a.Placements = s.r.directory.Snapshot(func(replica uint32) bool {
			_, ok := s.r.table.Source(replica)
			return ok
		})
	}
	if doc := s.r.current.Load(); doc != nil && doc.Version > request.Version {
		a.Configuration, a.Version = doc.Source, doc.Version
	}
	return a
}

// Apply implements mesh.State.
func (s state) Apply(a *mesh.SyncResponse) error {
	current := s.r.notePeer(a.Store, "peer")
	s.r.evacuateFromPeer(a.Evacuations, "peer") // before what makes the router ready
	s.r.changed("peer", s.r.table.Merge(a.Entries))
	if a.Complete {
		s.r.table.MarkComplete()
	}
	s.r.directory.Restore(a.Placements)
	if a.Settled {
		s.r.settled.Store(true)
	}
	if len(a.Entries) > 0 {
		s.r.listed.Store(true)
		if current {
			s.r.mergeReading(a.ReadAge, a.OutageAge, unknownReader)
		}
	}
	if a.Version <= s.r.current.Version() {
		return nil
	}
	doc, err := s.r.Decode(a.Configuration)
	if err != nil {
		return err
	}
	s.r.offer(doc, "peer")
	return nil
}

// CacheHolders implements mesh.State.
func (s state) CacheHolders(key uint64) []placing.CacheHolder { return s.r.directory.TouchHolders(key) }

// RecordPlacements implements mesh.State.
func (s state) RecordPlacements(use placing.Event, placements []placing.Placement) {
	s.r.directory.Record(use, placements)
}

// ApplyChanges implements mesh.State.
func (s state) ApplyChanges(changes []replicas.Entry) {
	s.r.changed("peer", s.r.table.Merge(changes))
}

// HandleDelegation implements mesh.State. One that waits already is enough.
func (s state) HandleDelegation(hops int) {
	select {
	case s.r.delegated <- hops:
	default:
	}
}

// Compare implements mesh.State.
func (s state) Compare(other mesh.Summary) mesh.Staleness {
	switch {
	case other.Configuration > s.r.current.Version():
		return mesh.ConfigurationOutdated
	case s.r.directory.Stale(other.Router), other.Settled && !s.r.settled.Load():
		return mesh.PlacementsMissed
	case other.Digest != s.r.table.Digest():
		return mesh.ReplicasDiffer
	}
	return mesh.Fresh
}

// countOf counts the entries that are so.
func countOf(entries []replicas.Entry, so func(replicas.Entry) bool) int {
	n := 0
	for _, e := range entries {
		if so(e) {
			n++
		}
	}
	return n
}

// offer puts a configuration in force if it is newer.
func (r *Router) offer(doc *routing.Document, from string) {
	if r.current.Offer(doc) {
		r.table.RefreshDigests()
		r.Log.Event("configuration", "version", doc.Version, "from", from,
			"routes", len(doc.Routes), "organisations", len(doc.Organisations))
		for _, name := range doc.Malformed {
			r.malformed("configuration " + name)
		}
	}
}

// mergeReading merges how old the newest list that another router knows of is, and
// how long ago the last outage ended.
func (r *Router) mergeReading(read, outage time.Duration, by uint64) {
	if read > 0 && read < unknownAge {
		now := r.clock.Now()
		r.reading.merge(now, peerList{at: now.Add(-read), outage: now.Add(-outage), by: by}, r.outageGap())
	}
}

// changesLogged is the number of changes of replicas at once from which only those are logged
// one by one that take replicas out of use, up to departuresLogged of them: the first list of
// a large fleet would be most of a router's log.
const (
	changesLogged    = 48
	departuresLogged = 200
)

// changed logs changes of replicas that are new to this router, and publishes them at once.
func (r *Router) changed(from string, changes []replicas.Entry) {
	r.logChanges(from, changes)
	r.node.PublishChanges(changes)
}

// leaves records that a replica announced in the answer to a request that it leaves.
func (r *Router) leaves(replica *replicas.Replica, id string) {
	if changes := r.table.MarkLeaving(replica); len(changes) > 0 {
		r.changed("answer "+id, changes)
	}
}

// logChanges logs changes of replicas.
func (r *Router) logChanges(from string, changed []replicas.Entry) {
	if len(changed) <= changesLogged {
		r.logEach(from, changed)
		return
	}
	departed := slices.DeleteFunc(slices.Clone(changed), func(e replicas.Entry) bool { return e.Usable() })
	r.Log.Event("replicas", "changed", len(changed), "leaving", countOf(changed, func(e replicas.Entry) bool { return e.Leaving }),
		"gone", countOf(changed, func(e replicas.Entry) bool { return e.Removed }), "from", from)
	r.logEach(from, departed[:min(len(departed), departuresLogged)])
}

// logEach logs each change in a line of its own.
func (r *Router) logEach(from string, changed []replicas.Entry) {
	for _, e := range changed {
		r.Log.Event("replica", "replica", e.ID, "service", e.Service, "address", e.Address,
			"leaving", e.Leaving, "said", e.LeavingAnnounced, "gone", e.Removed, "epoch", e.Epoch, "revision", e.Revision, "from", from)
	}
}
