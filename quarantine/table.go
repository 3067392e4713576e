package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// retention is how long a crash is remembered. It is longer than a block, so that one more
	// crash after its end renews it.
	retention = 2 * maxBlock
	// spreadTime is how long a crash is published to other routers if no rule follows from it.
	spreadTime = 3 * time.Second
	// trialInterval is the time after which another request is sent on trial if the one before
	// has neither crashed its replica nor been answered.
	trialInterval = 5 * time.Second
)

// Table holds the recent crashes of replicas and the rules that follow from them. It is safe for
// concurrent use.
type Table struct {
	// TrialDelay returns how long after the end of a block this router sends the first request
	// again. Routers with different delays don't all do so at once. nil stands for no delay.
	TrialDelay func(parts []uint64) time.Duration

	clock peridotusher.Clock

	mu      sync.Mutex
	trials  map[string]time.Time // when a request was last sent on trial, by rule
	crashes []*crash             // in the order of their times
	soundAt map[uint64]time.Time // when a replica last began to answer, by part of a suspect
	// derived is a copy for requests, which read it without the lock.
	derived atomic.Pointer[derived]
}

// derived is what follows from the crashes. It does not change.
type derived struct {
	rules []Rule
	// suspectedSince is the first crash of a request with a part since the part was sound.
	suspectedSince map[uint64]time.Time
}

// NewTable returns an empty Table.
func NewTable(clock peridotusher.Clock) *Table {
	t := &Table{clock: clock, soundAt: make(map[uint64]time.Time), trials: make(map[string]time.Time)}
	t.derived.Store(&derived{})
	return t
}

// IsSuspicious reports whether any part is suspected. If not, every request is admitted.
func (t *Table) IsSuspicious() bool { return len(t.derived.Load().suspectedSince) > 0 }

// Admit decides on a new request with the parts: it is blocked by a rule in force, and after the
// end of a block unless it is the one that is sent on trial. left is the time until another
// request may be sent.
func (t *Table) Admit(parts []uint64) (left time.Duration, ok bool) {
	if left, blocked := t.Blocked(parts); blocked {
		return left, false
	}
	for _, rule := range t.derived.Load().rules {
		if !rule.matches(parts) {
			continue
		}
		if left := t.takeTrial(rule); left > 0 {
			return left, false
		}
	}
	return 0, true
}

// Blocked reports whether a rule in force blocks requests with the parts, and for how long.
func (t *Table) Blocked(parts []uint64) (left time.Duration, blocked bool) {
	rules := t.derived.Load().rules
	if len(rules) == 0 {
		return 0, false
	}
	now := t.clock.Now()
	for _, rule := range rules {
		if remaining := rule.until.Sub(now); remaining > 0 && rule.matches(parts) {
			left, blocked = max(left, remaining), true
		}
	}
	return left, blocked
}

// takeTrial lets a request pass on trial after the end of a rule's block. It returns 0 if the
// request may be sent, else the time until another one may.
func (t *Table) takeTrial(rule Rule) time.Duration {
	first := rule.until
	if t.TrialDelay != nil {
		first = first.Add(t.TrialDelay(rule.parts))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	next := first
	if last, ok := t.trials[rule.key()]; ok && !last.Before(first) {
		next = last.Add(trialInterval)
	}
	if now.Before(next) {
		return next.Sub(now)
	}
	t.trials[rule.key()] = now
	return 0
}

// Rules returns the rules that are in force.
func (t *Table) Rules() []Rule {
	now := t.clock.Now()
	return slices.DeleteFunc(slices.Clone(t.derived.Load().rules), func(r Rule) bool { return !r.until.After(now) })
}

// RecordCrash records that a replica, of which replica is the hash, crashed now before it had
// sent anything of the answer to a request with the parts. It returns what to tell other routers.
func (t *Table) RecordCrash(replica uint32, sentAt time.Time, parts []uint64) Update {
	s := Suspect{Age: t.clock.Now().Sub(sentAt), Parts: parts}
	return t.Merge(Update{Crashes: []Crash{{Replica: replica, Suspects: []Suspect{s}}}})
}

// RecordBegun records that a replica begins to answer a request with the parts now. It returns
// what to tell other routers.
func (t *Table) RecordBegun(parts []uint64) Update {
	since := t.derived.Load().suspectedSince
	if len(since) == 0 {
		return Update{}
	}
	var sound []Sound
	for _, part := range parts {
		if _, suspected := since[part]; suspected {
			sound = append(sound, Sound{Part: part})
		}
	}
	if len(sound) == 0 {
		return Update{}
	}
	return t.Merge(Update{Sound: sound})
}

// Merge applies an update. It returns what to tell other routers: crashes that are new to this
// one, and parts that they may block although they are sound.
func (t *Table) Merge(u Update) Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news Update
	ruled := t.derived.Load().rules
	for _, c := range u.Crashes {
		if t.mergeCrash(c) {
			news.Crashes = append(news.Crashes, c)
		}
	}
	cleared := t.mergeSound(u.Sound)
	if len(news.Crashes) == 0 && len(cleared) == 0 {
		return Update{}
	}
	t.update()
	if len(news.Crashes) > 0 {
		cleared = slices.Collect(maps.Keys(t.soundAt))
	}
	news.Sound = t.blamedElsewhere(cleared, ruled)
	return news
}

// mergeCrash adds a report on a crash and returns whether it is new. The caller holds t.mu.
func (t *Table) mergeCrash(reported Crash) bool {
	if reported.Age > retention {
		return false
	}
	now := t.clock.Now()
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.replica == reported.Replica })
	if i >= 0 {
		return t.crashes[i].merge(now, reported)
	}
	c := &crash{replica: reported.Replica, at: now}
	if !c.merge(now, reported) {
		return false
	}
	t.crashes = append(t.crashes, c)
	return true
}

// mergeSound records sound parts and returns those that were suspected. The caller holds t.mu.
func (t *Table) mergeSound(sound []Sound) []uint64 {
	var cleared []uint64
	since := t.derived.Load().suspectedSince
	now := t.clock.Now()
	for _, s := range sound {
		at := now.Add(-s.Age)
		if first, suspected := since[s.Part]; suspected && at.After(first) {
			t.soundAt[s.Part] = at
			cleared = append(cleared, s.Part)
		}
	}
	return cleared
}

// blamedElsewhere returns those of the sound parts that other routers may block: parts of rules
// until now, and parts that the crashes alone blame. The caller holds t.mu.
func (t *Table) blamedElsewhere(sound []uint64, rules []Rule) []Sound {
	var out []Sound
	now := t.clock.Now()
	crashes := newEvidence(t.crashes, nil)
	for _, part := range sound {
		rule, ok := crashes.rule(part)
		if ok && len(rule.parts) == 1 || concernsAny(rules, part) {
			out = append(out, Sound{Part: part, Age: now.Sub(t.soundAt[part])})
		}
	}
	return out
}

// update derives the rules after a change. The caller holds t.mu.
func (t *Table) update() {
	t.forgetOld()
	slices.SortFunc(t.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	e := newEvidence(t.crashes, t.soundAt)
	maps.DeleteFunc(t.soundAt, func(part uint64, _ time.Time) bool { return len(e.seen[part]) == 0 })
	d := &derived{rules: e.rules(t.clock.Now()), suspectedSince: make(map[uint64]time.Time)}
	for part := range e.seen {
		if seen := e.sinceSound(part); len(seen) > 0 {
			d.suspectedSince[part] = seen[0].crash.at
		}
	}
	t.derived.Store(d)
	maps.DeleteFunc(t.trials, func(key string, _ time.Time) bool {
		return !slices.ContainsFunc(d.rules, func(r Rule) bool { return r.key() == key })
	})
}

// forgetOld removes the crashes that are too old, and the oldest ones without a rule if there are
// too many. The caller holds t.mu.
func (t *Table) forgetOld() {
	now := t.clock.Now()
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) > retention })
	rules := t.derived.Load().rules
	for len(t.crashes) > maxCrashes {
		i := max(slices.IndexFunc(t.crashes, func(c *crash) bool { return !c.isExplained(rules) }), 0)
		t.crashes = slices.Delete(t.crashes, i, i+1)
	}
}

// Expire removes outdated state. It is called from time to time.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) > 0 && t.clock.Now().Sub(t.crashes[0].at) > retention {
		t.update()
	}
}

// maxPublishedParts is the number of parts from which Recent returns no further crash.
const maxPublishedParts = 256

// Recent returns the crashes to publish at regular intervals, at most limit: the latest ones, and
// those that the rules follow from, with the suspects that a rule concerns. A router that missed
// an update or has just started learns the rules from them.
func (t *Table) Recent(limit int) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	rules := t.derived.Load().rules
	blocked := func(parts []uint64) bool { return matchesAny(rules, parts) }
	all := func([]uint64) bool { return true }
	var out []Crash
	for _, c := range slices.Backward(t.crashes) {
		switch {
		case len(out) == limit || countParts(out) >= maxPublishedParts:
			return out
		case c.isExplained(rules):
			out = append(out, c.report(now, blocked))
		case now.Sub(c.at) < spreadTime:
			out = append(out, c.report(now, all))
		}
	}
	return out
}

// countParts counts the parts of all suspects.
func countParts(crashes []Crash) int {
	n := 0
	for _, c := range crashes {
		for _, s := range c.Suspects {
			n += len(s.Parts)
		}
	}
	return n
}
