package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// maxStatements bounds the replicas whose statements are kept.
	maxStatements = 4096
	// limitTTL is how long a limit is kept that no answer has stated again. Replicas with a limit
	// get requests more often than that, unless nobody sends any.
	limitTTL = time.Minute
	// endTTL is how long the end of a limit is kept, so that a router that has missed the end does not
	// set the limit again at the others. It is longer than limitTTL, since the age of a statement
	// does not include its time on the network.
	endTTL = limitTTL + 5*time.Second
)

// Table holds the latest statement of each replica that has stated a limit. It is safe for concurrent
// use.
type Table struct {
	clock peridotusher.Clock

	// count is the number of statements, which is zero nearly always.
	count      atomic.Int64
	mu         sync.Mutex
	statements map[uint32]*known
}

// NewTable returns an empty Table.
func NewTable(clock peridotusher.Clock) *Table {
	return &Table{clock: clock, statements: make(map[uint32]*known)}
}

// Limit returns the rate to which a replica limits its requests, if it does.
func (t *Table) Limit(replica uint32) (rate float64, limited bool) {
	if t.count.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.statements[replica]
	if !ok || !k.limited {
		return 0, false
	}
	return k.rate, true
}

// Limits returns the number of replicas that limit their requests.
func (t *Table) Limits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, k := range t.statements {
		if k.limited {
			n++
		}
	}
	return n
}

// Record records what an answer of a replica says, and returns the statement to publish if it is
// new. An answer without a limit ends the limit only if its request was sent after the limit was last
// stated, since answers may overtake each other.
func (t *Table) Record(a Answer) []Statement {
	if !a.Limited && t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	k, ok := t.statements[a.Replica]
	if !a.Limited && (!ok || !k.limited || !a.SentAt.After(k.at)) {
		return nil
	}
	s := Statement{Replica: a.Replica, Rate: a.Rate, Limited: a.Limited}
	if t.merge(now, s) {
		return []Statement{s}
	}
	return nil
}

// Merge merges the statements that another router has published, and returns those that this router
// has to forward: the ones that say something new.
func (t *Table) Merge(statements []Statement) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var news []Statement
	for _, s := range statements {
		if t.merge(now, s) {
			news = append(news, s)
		}
	}
	return news
}

// merge records a statement if it is the latest of its replica, and reports whether it says something
// new; t.mu must be held.
func (t *Table) merge(now time.Time, s Statement) bool {
	at := now.Add(-s.Age)
	if now.Sub(at) > ttl(s.Limited) {
		return false
	}
	k, ok := t.statements[s.Replica]
	switch {
	case !ok && len(t.statements) >= maxStatements:
		t.evictOldest()
		fallthrough
	case !ok:
		t.statements[s.Replica] = &known{rate: s.Rate, limited: s.Limited, at: at}
		t.count.Store(int64(len(t.statements)))
		return true
	case !at.After(k.at):
		return false
	}
	changed := !k.sameValue(s.Limited, s.Rate)
	k.rate, k.limited, k.at = s.Rate, s.Limited, at
	if changed {
		k.published = 0
	}
	return changed
}

// evictOldest removes the statement that was made longest ago; t.mu must be held.
func (t *Table) evictOldest() {
	var oldest uint32
	first := true
	for replica, k := range t.statements {
		if first || k.at.Before(t.statements[oldest].at) {
			oldest, first = replica, false
		}
	}
	delete(t.statements, oldest)
}

// Recent returns at most limit statements for a heartbeat. Those that were returned least often since
// their value changed come first, so that each one gets its turn.
func (t *Table) Recent(limit int) []Statement {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	replicas := make([]uint32, 0, len(t.statements))
	for replica := range t.statements {
		replicas = append(replicas, replica)
	}
	slices.SortFunc(replicas, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(t.statements[a].published, t.statements[b].published), cmp.Compare(a, b))
	})
	now := t.clock.Now()
	var out []Statement
	for _, replica := range replicas[:min(len(replicas), limit)] {
		k := t.statements[replica]
		k.published++
		out = append(out, k.statement(replica, now))
	}
	return out
}

// All returns all statements, for a router that has started.
func (t *Table) All() []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []Statement
	for replica, k := range t.statements {
		out = append(out, k.statement(replica, now))
	}
	return out
}

// Expire removes the statements that are too old, and returns the replicas whose limits have been
// removed.
func (t *Table) Expire() []uint32 {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var removed []uint32
	for replica, k := range t.statements {
		if now.Sub(k.at) <= ttl(k.limited) {
			continue
		}
		if k.limited {
			removed = append(removed, replica)
		}
		delete(t.statements, replica)
	}
	t.count.Store(int64(len(t.statements)))
	return removed
}

// ttl returns how long a statement is kept.
func ttl(limited bool) time.Duration {
	if limited {
		return limitTTL
	}
	return endTTL
}
