package replicas

import (
	"cmp"
	"slices"
	"time"
)

// RecentChanges returns at most limit of the entries that changed within ttl. Entries that it has
// returned least often since their change come first, so that each one gets its turn
// however many change. Among these, leaving and removed replicas come first, then the
// newest changes.
func (t *Table) RecentChanges(limit int, ttl time.Duration) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var recent []*record
	for _, rec := range t.records {
		if now.Sub(rec.changedAt) < ttl {
			recent = append(recent, rec)
		}
	}
	slices.SortFunc(recent, comparePublishPriority)
	recent = recent[:min(len(recent), limit)]
	entries := make([]Entry, len(recent))
	for i, rec := range recent {
		rec.publishCount++
		entries[i] = rec.entryAt(now)
	}
	return entries
}

// comparePublishPriority orders records by how urgently their latest change has to be
// published.
func comparePublishPriority(a, b *record) int {
	switch usable := a.entry.Usable(); {
	case a.publishCount != b.publishCount:
		return cmp.Compare(a.publishCount, b.publishCount)
	case usable != b.entry.Usable() && usable:
		return 1
	case usable != b.entry.Usable():
		return -1
	}
	return b.changedAt.Compare(a.changedAt)
}

// BucketDigests returns the digest of the ready replicas in each bucket of the table.
func (t *Table) BucketDigests() []uint64 {
	digests := t.view.Load().bucketDigests
	return digests[:]
}

// DifferingEntries returns the entries, including those of removed replicas, in the buckets whose
// digests differ from those of another table. It returns all entries if the other table has
// a different number of buckets, and none if digests is empty.
func (t *Table) DifferingEntries(digests []uint64) []Entry {
	if len(digests) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	own, now := t.view.Load().bucketDigests, t.clock.Now()
	var entries []Entry
	for id, rec := range t.records {
		bucket := bucketOf(id)
		if len(digests) != len(own) || own[bucket] != digests[bucket] {
			entries = append(entries, rec.entryAt(now))
		}
	}
	return entries
}
