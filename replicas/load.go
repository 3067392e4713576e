package replicas

import (
	"slices"
	"time"
)

// maxCounts bounds the number of counts in a heartbeat of a large fleet, where loads are
// taken from reports. Outcomes are cumulative, so a later count includes those of a count
// that was left out.
const maxCounts = 24

// Count is one router's count of its own requests and their outcomes at a replica.
type Count struct {
	// Replica is the replica's hash; see HashOf.
	Replica uint32
	// Held is the number of the router's requests at the replica.
	Held int32
	// Good and Bad count the outcomes since the router's start.
	Good, Bad uint32
}

// peerCounts holds the latest counts of another router.
type peerCounts struct {
	incarnation   int64
	at            time.Time
	contributions []contribution
	outcomes      map[uint32]outcomes // by replica
}

// contribution is the number of a router's requests that was added to the load of a replica.
type contribution struct {
	replica *Replica
	held    int32
}

// outcomes holds the cumulative outcomes that a router published for a replica.
type outcomes struct{ good, bad uint32 }

// Counts returns the router's own counts for the replicas at which it has requests or had
// outcomes within ttl, those with the newest outcomes first. At all other replicas it has no
// requests, and their outcomes have not changed since they were last published.
func (t *Table) Counts(ttl time.Duration) []Count {
	type datedCount struct {
		Count
		lastOutcome time.Time
	}
	now := t.clock.Now()
	var recent []datedCount
	t.ForEach(func(r *Replica) {
		good, bad, lastOutcome := r.outcomeCounts()
		held := r.ownRequests.Load()
		if held != 0 || now.Sub(lastOutcome) < ttl {
			recent = append(recent, datedCount{Count{Replica: r.hash, Held: held, Good: good, Bad: bad}, lastOutcome})
		}
	})
	slices.SortFunc(recent, func(a, b datedCount) int { return b.lastOutcome.Compare(a.lastOutcome) })
	if t.usesReports.Load() {
		recent = recent[:min(len(recent), maxCounts)]
	}
	counts := make([]Count, len(recent))
	for i, c := range recent {
		counts[i] = c.Count
	}
	return counts
}

// MergeCounts replaces the counts of another router. That router has no requests at replicas
// that counts does not name, and their outcomes have not changed.
func (t *Table) MergeCounts(router string, incarnation int64, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	l := t.peerCounts[router]
	var before []contribution
	if l != nil {
		before = l.contributions
	}
	if l == nil || l.incarnation != incarnation {
		l = &peerCounts{incarnation: incarnation, outcomes: make(map[uint32]outcomes, len(counts))}
		t.peerCounts[router] = l
	}
	l.at, l.contributions = now, nil
	for _, c := range counts {
		if r, ok := t.Find(c.Replica); ok {
			l.mergeCount(now, r, c)
		}
	}
	subtractContributions(before) // last, so that no load is too low in between
}

// mergeCount adds one count to the replica's load and its new outcomes to the replica's health.
func (l *peerCounts) mergeCount(now time.Time, r *Replica, c Count) {
	if c.Held != 0 {
		r.remote.counted.Add(c.Held)
		l.contributions = append(l.contributions, contribution{r, c.Held})
	}
	before, known := l.outcomes[c.Replica]
	if known && c.Good >= before.good && c.Bad >= before.bad {
		r.mergeOutcomes(now, c.Good-before.good, c.Bad-before.bad)
	}
	l.outcomes[c.Replica] = outcomes{c.Good, c.Bad}
}

// subtractContributions subtracts contributions from the loads of their replicas.
func subtractContributions(list []contribution) {
	for _, c := range list {
		c.replica.remote.counted.Add(-c.held)
	}
}

// Expire removes the counts of routers that have published none for longer than ttl, and the
// records of replicas that were removed longer than tombstoneTTL ago.
func (t *Table) Expire(ttl time.Duration) {
	t.selectLoadSource(t.clock.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if until := t.view.Load().nextWarmAt; !until.IsZero() && !now.Before(until) {
		t.rebuildView() // the digests of other routers change at that time too
	}
	for id, rec := range t.records {
		if rec.entry.Removed && now.Sub(rec.changedAt) > tombstoneTTL {
			delete(t.records, id)
		}
	}
	for router, load := range t.peerCounts {
		if now.Sub(load.at) > ttl {
			subtractContributions(load.contributions)
			delete(t.peerCounts, router)
		}
	}
}
