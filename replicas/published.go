package replicas

import (
	"cmp"
	"slices"
	"time"
)

// Recent returns the entries that changed within ttl, at most limit of them: first those that
// it has returned least often since their change, so that each one gets its turn however many
// change, and of these the departures, then the newest.
func (t *Table) Recent(limit int, ttl time.Duration) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var recent []*record
	for _, rec := range t.records {
		if now.Sub(rec.changed) < ttl {
			recent = append(recent, rec)
		}
	}
	slices.SortFunc(recent, byUrgency)
	recent = recent[:min(len(recent), limit)]
	entries := make([]Entry, len(recent))
	for i, rec := range recent {
		rec.published++
		entries[i] = rec.current(now)
	}
	return entries
}

// byUrgency orders records by the urgency of publishing their latest change.
func byUrgency(a, b *record) int {
	switch usable := a.entry.Usable(); {
	case a.published != b.published:
		return cmp.Compare(a.published, b.published)
	case usable != b.entry.Usable() && usable:
		return 1
	case usable != b.entry.Usable():
		return -1
	}
	return b.changed.Compare(a.changed)
}

// Parts returns the digest of the ready replicas in each part of the table.
func (t *Table) Parts() []uint64 {
	parts := t.view.Load().parts
	return parts[:]
}

// Differing returns the entries, those of gone replicas too, in the parts whose digests
// differ from those of another table: all entries if that has a different number of parts,
// none if parts is empty.
func (t *Table) Differing(parts []uint64) []Entry {
	if len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	own, now := t.view.Load().parts, t.clock.Now()
	var entries []Entry
	for id, rec := range t.records {
		part := partOf(id)
		if len(parts) != len(own) || own[part] != parts[part] {
			entries = append(entries, rec.current(now))
		}
	}
	return entries
}
