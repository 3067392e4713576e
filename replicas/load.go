package replicas

import (
	"slices"
	"time"
)

// countsWide bounds the counts that are told at once in a wide fleet, where loads
// are taken from reports. Outcomes are sums, so that a later count makes up for one
// that was not told.
const countsWide = 24

// Count is what one router knows first hand of a replica.
type Count struct {
	// Replica is the short form of the replica's id.
	Replica uint32
	// Held is the number of the router's requests at the replica.
	Held int32
	// Good and Bad count outcomes since the router's start.
	Good, Bad uint32
}

// peerLoad is what another router told last.
type peerLoad struct {
	incarnation int64
	at          time.Time
	counts      map[uint32]addedCount
}

// addedCount is one count with the replica to whose load it was added.
type addedCount struct {
	Count
	replica *Replica
}

// Counts returns the router's own counts of the replicas at which it has
// requests or has seen outcomes within told, those with the newest outcomes first.
// Of the others it has no requests, and their outcomes are as told before.
func (t *Table) Counts(told time.Duration) []Count {
	type dated struct {
		Count
		last time.Time
	}
	now := t.clock.Now()
	var recent []dated
	t.Replicas(func(r *Replica) {
		good, bad, last := r.counts()
		held := r.own.Load()
		if held != 0 || now.Sub(last) < told {
			recent = append(recent, dated{Count{Replica: r.hash, Held: held, Good: good, Bad: bad}, last})
		}
	})
	slices.SortFunc(recent, func(a, b dated) int { return b.last.Compare(a.last) })
	if t.wide.Load() {
		recent = recent[:min(len(recent), countsWide)]
	}
	counts := make([]Count, len(recent))
	for i, c := range recent {
		counts[i] = c.Count
	}
	return counts
}

// Learn takes the counts of another router in.
func (t *Table) Learn(router string, incarnation int64, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	old := t.loads[router]
	fresh := &peerLoad{incarnation: incarnation, at: now, counts: make(map[uint32]addedCount, len(counts))}
	for _, c := range counts {
		r, ok := t.Find(c.Replica)
		if !ok {
			continue
		}
		fresh.counts[c.Replica] = addedCount{Count: c, replica: r}
		r.others.counted.Add(c.Held)
		if old == nil || old.incarnation != incarnation {
			continue
		}
		before, known := old.counts[c.Replica]
		if known && c.Good >= before.Good && c.Bad >= before.Bad {
			r.learn(now, c.Good-before.Good, c.Bad-before.Bad)
		}
	}
	if old != nil {
		old.forget()
		if old.incarnation == incarnation {
			fresh.inherit(old)
		}
	}
	t.loads[router] = fresh
}

// inherit keeps the outcomes of replicas that the fresh counts do not name.
func (l *peerLoad) inherit(old *peerLoad) {
	for hash, c := range old.counts {
		if _, ok := l.counts[hash]; !ok {
			c.Held = 0
			l.counts[hash] = c
		}
	}
}

// forget takes the held requests off the replicas again.
func (l *peerLoad) forget() {
	for _, c := range l.counts {
		c.replica.others.counted.Add(-c.Held)
	}
}

// Expire forgets the counts of routers that were silent for longer than ttl, and
// replicas that are gone for long.
func (t *Table) Expire(ttl time.Duration) {
	t.weighReports(t.clock.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for id, rec := range t.records {
		if rec.entry.Gone && now.Sub(rec.changed) > tombstoneFor {
			delete(t.records, id)
		}
	}
	for router, load := range t.loads {
		if now.Sub(load.at) > ttl {
			load.forget()
			delete(t.loads, router)
		}
	}
}
