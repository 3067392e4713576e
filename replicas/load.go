package replicas

import "time"

// peerLoadTTL is how long another router's counts are believed.
const peerLoadTTL = 1500 * time.Millisecond

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
	counts      map[uint32]told
}

// told is one count with the replica to whose load it was added.
type told struct {
	Count
	replica *Replica
}

// Counts returns the router's own counts of all replicas that have any.
func (t *Table) Counts() []Count {
	var counts []Count
	t.Replicas(func(r *Replica) {
		good, bad := r.counts()
		held := r.own.Load()
		if held != 0 || good != 0 || bad != 0 {
			counts = append(counts, Count{Replica: r.hash, Held: held, Good: good, Bad: bad})
		}
	})
	return counts
}

// Learn takes the counts of another router in.
func (t *Table) Learn(router string, incarnation int64, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	old := t.loads[router]
	fresh := &peerLoad{incarnation: incarnation, at: now, counts: make(map[uint32]told, len(counts))}
	for _, c := range counts {
		r, ok := t.Find(c.Replica)
		if !ok {
			continue
		}
		fresh.counts[c.Replica] = told{Count: c, replica: r}
		r.others.Add(c.Held)
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
	}
	t.loads[router] = fresh
}

// forget takes the held requests off the replicas again.
func (l *peerLoad) forget() {
	for _, c := range l.counts {
		c.replica.others.Add(-c.Held)
	}
}

// Expire forgets the counts of routers that fell silent.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for router, load := range t.loads {
		if now.Sub(load.at) > peerLoadTTL {
			load.forget()
			delete(t.loads, router)
		}
	}
}
