package edge

import (
	"slices"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// These constants limit the changes, load reports, crashes and request rates of replicas in a
// heartbeat.
const (
	maxChanges = 32
	maxReports = 16
	maxCrashes = 6
	maxLimits  = 1
)

// minUpdateTTL is the minimum time for which updates are published. It spans several heartbeats,
// since one may be lost. A router of a large fleet publishes updates until each router was sent a
// heartbeat. A router that missed placements notices from their sequence numbers, and counts are
// totals, which the next heartbeat replaces.
const minUpdateTTL = time.Second

// maxChangesTTL limits how long a change of a replica is published, since each router that
// receives it forwards it.
const maxChangesTTL = 2 * time.Second

// state implements mesh.State on the router's tables.
type state struct{ r *Router }

// Fill implements mesh.State.
func (s state) Fill(h *mesh.Heartbeat) {
	r := s.r
	h.Configuration = r.current.Version()
	h.Epoch = r.epoch.position().Epoch
	h.Digest = r.table.Digest()
	h.ReadAge, h.OutageAge, h.ReaderScore = r.lists.ages(r.clock.Now())
	h.Stopping, h.Ready = r.stopping.Load() != nil, r.Ready()
	ttl := max(minUpdateTTL, r.node.CoverTime()+r.node.SpreadTime())
	h.Counts = r.table.Counts(ttl)
	h.Reports = r.table.Reports(maxReports)
	h.Changes = r.table.RecentChanges(maxChanges, min(ttl, maxChangesTTL))
	h.Evacuations = r.evacuations()
	h.Crashes = r.quarantine.Recent(maxCrashes)
	h.Limits = r.dueLimits()
	h.Settled = r.settled.Load()
	h.Reads = r.reads.Own()
	h.Delta = r.directory.Recent(ttl)
}

// Merge implements mesh.State.
func (s state) Merge(h *mesh.Heartbeat) {
	r := s.r
	current := r.recordPeerPosition(peridotusher.Position{Epoch: h.Epoch}, h.Name)
	r.mergePeerEvacuations(h.Evacuations, h.Name)
	r.mergeQuarantine(quarantine.Update{Crashes: h.Crashes}, h.Name)
	r.mergeLimits(h.Name, h.Limits)
	if len(h.Changes) > 0 {
		r.mergeChanges(h.Name, h.Changes)
	}
	if current {
		r.mergePeerList(h.ReadAge, h.OutageAge, h.ReaderScore)
	}
	r.table.MergeCounts(h.Name, h.Incarnation, h.Counts)
	r.table.MergeReports(h.Reports)
	r.reads.Merge(h.Name, h.Reads)
	r.directory.Merge(placing.Origin{Name: h.Name, Incarnation: h.Incarnation}, h.Delta)
}

// Request implements mesh.State. If the configuration is outdated, only that is requested, so
// that it is in force soon.
func (s state) Request(staleness mesh.Staleness) mesh.SyncRequest {
	request := mesh.SyncRequest{Version: s.r.current.Version(), Placements: staleness == mesh.PlacementsMissed}
	if staleness != mesh.ConfigurationOutdated || !s.r.hasList.Load() {
		request.Replicas = s.r.table.BucketDigests()
	}
	return request
}

// Respond implements mesh.State.
func (s state) Respond(request mesh.SyncRequest) *mesh.SyncResponse {
	response := &mesh.SyncResponse{Entries: s.r.table.DifferingEntries(request.Replicas), Store: s.r.epoch.position(), Evacuations: s.r.table.Evacuations(), Limits: s.r.rateLimits.All()}
	if len(request.Replicas) > 0 {
		response.ReadAge, response.OutageAge, _ = s.r.lists.ages(s.r.clock.Now())
		response.Complete = s.r.table.Complete()
	}
	if request.Placements {
		response.Settled = s.r.settled.Load()
		response.Placements = s.r.directory.Snapshot(func(replica uint32) bool {
			_, ok := s.r.table.Source(replica)
			return ok
		})
	}
	if doc := s.r.current.Load(); doc != nil && doc.Version > request.Version {
		response.Configuration, response.Version = doc.Source, doc.Version
	}
	return response
}

// Apply implements mesh.State.
func (s state) Apply(response *mesh.SyncResponse) error {
	current := s.r.recordPeerPosition(response.Store, "peer")
	s.r.mergePeerEvacuations(response.Evacuations, "peer") // before the router can become ready
	s.r.mergeLimits("peer", response.Limits)
	if s.r.stalledRecently() {
		forgetReadyTimes(response.Entries)
	}
	s.r.publishChanges("peer", s.r.table.Merge(response.Entries))
	if response.Complete {
		s.r.table.MarkComplete()
	}
	s.r.directory.Restore(response.Placements)
	if response.Settled {
		s.r.settled.Store(true)
	}
	if len(response.Entries) > 0 {
		s.r.hasList.Store(true)
		if current {
			s.r.mergePeerList(response.ReadAge, response.OutageAge, unknownReaderScore)
		}
	}
	if response.Version <= s.r.current.Version() {
		return nil
	}
	doc, err := s.r.Decode(response.Configuration)
	if err != nil {
		return err
	}
	s.r.applyConfiguration(doc, "peer")
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
	s.r.mergeChanges("peer", changes)
}

// ApplyQuarantine implements mesh.State.
func (s state) ApplyQuarantine(u quarantine.Update) { s.r.mergeQuarantine(u, "peer") }

// ApplyLimits implements mesh.State.
func (s state) ApplyLimits(limits []ratelimit.Statement) { s.r.mergeLimits("peer", limits) }

// HandleDelegation implements mesh.State. Further requests are dropped while one is pending.
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

// countIf counts the entries that match.
func countIf(entries []replicas.Entry, match func(replicas.Entry) bool) int {
	n := 0
	for _, e := range entries {
		if match(e) {
			n++
		}
	}
	return n
}

// applyConfiguration puts a configuration in force if it is newer than the current one.
func (r *Router) applyConfiguration(doc *routing.Document, from string) {
	earlier := r.current.Load()
	if r.current.Offer(doc) {
		r.table.RefreshDigests()
		r.Log.Event("configuration", "version", doc.Version, "from", from,
			"routes", len(doc.Routes), "organisations", len(doc.Organisations))
		if removed := doc.RemovedProtections(earlier); len(removed) > 0 {
			r.Log.Event("unprotected", "version", doc.Version, "before", earlier.Version, "from", from, "removed", removed)
		}
		for _, name := range doc.Malformed {
			r.logMalformedKey("configuration " + name)
		}
	}
}

// mergePeerList merges the age of the newest list that another router knows of and the time since
// the last outage ended.
func (r *Router) mergePeerList(read, outage time.Duration, by uint64) {
	if read > 0 && read < unknownAge {
		now := r.clock.Now()
		r.lists.merge(now, peerList{readAt: now.Add(-read), outageEnd: now.Add(-outage), readerScore: by}, r.outageGap())
	}
}

// maxChangesLogged is the number of simultaneous changes of replicas that are all logged. Of more,
// only removals and departures are logged, up to maxDeparturesLogged: otherwise the first list of
// a large fleet would fill most of a router's log.
const (
	maxChangesLogged    = 48
	maxDeparturesLogged = 200
)

// mergeChanges merges changes of replicas from a datagram, and publishes those that are new to this
// router. After a stall or without recent lists the datagram may have waited in the socket's queue.
func (r *Router) mergeChanges(from string, changes []replicas.Entry) {
	if r.stalledRecently() || r.learnsLate() {
		forgetReadyTimes(changes)
	}
	r.publishChanges(from, r.table.Merge(changes))
}

// publishChanges logs changes of replicas that are new to this router, and publishes them at once.
func (r *Router) publishChanges(from string, changes []replicas.Entry) {
	r.logChanges(from, changes)
	r.node.PublishChanges(changes)
}

// markLeaving records that a replica announced in an answer to a request that it is leaving.
func (r *Router) markLeaving(replica *replicas.Replica, id string) {
	if changes := r.table.MarkLeaving(replica); len(changes) > 0 {
		r.publishChanges("answer "+id, changes)
	}
}

// logChanges logs changes of replicas, many at once in one line.
func (r *Router) logChanges(from string, changed []replicas.Entry) {
	if len(changed) <= maxChangesLogged {
		r.logEachChange(from, changed)
		return
	}
	departed := slices.DeleteFunc(slices.Clone(changed), func(e replicas.Entry) bool { return e.Usable() })
	r.Log.Event("replicas", "changed", len(changed), "leaving", countIf(changed, func(e replicas.Entry) bool { return e.Leaving }),
		"gone", countIf(changed, func(e replicas.Entry) bool { return e.Removed }), "from", from)
	r.logEachChange(from, departed[:min(len(departed), maxDeparturesLogged)])
}

// logEachChange logs each change on a separate line.
func (r *Router) logEachChange(from string, changed []replicas.Entry) {
	for _, e := range changed {
		r.Log.Event("replica", "replica", e.ID, "service", e.Service, "address", e.Address,
			"leaving", e.Leaving, "said", e.LeavingAnnounced, "gone", e.Removed, "epoch", e.Epoch, "revision", e.Revision, "from", from)
	}
}
