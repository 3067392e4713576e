package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// testTable is a table with a clock that the test sets.
type testTable struct {
	*Table
	now time.Time
}

func newTestTable() *testTable {
	table := &testTable{now: time.Unix(1000, 0)}
	table.Table = NewTable(peridotusher.ClockFunc(func() time.Time { return table.now }))
	return table
}

func entry(id string, revision int64) Entry {
	return Entry{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 4, StartedAt: 1, Revision: revision}
}

// positionAt returns a position in the first epoch.
func positionAt(revision int64) peridotusher.Position {
	return peridotusher.Position{Revision: revision}
}

func ids(list []*Replica) []string {
	out := []string{}
	for _, r := range list {
		out = append(out, r.ID())
	}
	return out
}

func TestEntriesInAnyOrder(t *testing.T) {
	leaving, removed := entry("a", 5), entry("a", 7)
	leaving.Leaving, removed.Removed = true, true
	orders := [][]Entry{
		{entry("a", 3), leaving, removed},
		{removed, leaving, entry("a", 3)},
		{entry("a", 3), removed, leaving, entry("a", 3)},
	}
	for i, order := range orders {
		table := newTestTable()
		table.Merge([]Entry{entry("a", 2)})
		for _, e := range order {
			table.Merge([]Entry{e})
		}
		if got := ids(table.Ready("s")); len(got) != 0 {
			t.Errorf("order %d: %v is ready", i, got)
		}
	}
}

func TestSnapshotRemovesMissingReplicas(t *testing.T) {
	table := newTestTable()
	table.MergeSnapshot(positionAt(10), []Entry{entry("a", 3), entry("b", 4)}, false)
	table.MergeSnapshot(positionAt(12), []Entry{entry("b", 4)}, false)
	if diff := cmp.Diff([]string{"b"}, ids(table.Ready("s"))); diff != "" {
		t.Errorf("ready (-want +got):\n%s", diff)
	}
	if _, ok := table.Source(HashOf("a", 1)); !ok {
		t.Error("a replica that was just removed is not a source, though it may still serve")
	}
	// An older entry from another router does not add the replica again; a restart does.
	table.Merge([]Entry{entry("a", 3)})
	if n := len(table.Ready("s")); n != 1 {
		t.Errorf("%d replicas are ready after an older entry, want 1", n)
	}
	table.Merge([]Entry{entry("a", 13)})
	if n := len(table.Ready("s")); n != 2 {
		t.Errorf("%d replicas are ready after a restart, want 2", n)
	}
}

// TestLeavingReplicaIsSource has a replica begin to leave and then be removed: it
// remains a source for sourceGracePeriod from the first of these events.
func TestLeavingReplicaIsSource(t *testing.T) {
	table := newTestTable()
	table.Merge([]Entry{entry("a", 1)})
	source := func() bool {
		_, ok := table.Source(HashOf("a", 1))
		return ok
	}
	table.now = table.now.Add(time.Minute)
	if !source() {
		t.Error("a ready replica is not a source")
	}
	leaving := entry("a", 2)
	leaving.Leaving = true
	table.Merge([]Entry{leaving})
	table.now = table.now.Add(sourceGracePeriod / 2)
	removed := entry("a", 3)
	removed.Removed = true
	table.Merge([]Entry{removed})
	if !source() {
		t.Error("a replica that began to leave a short time ago is not a source")
	}
	table.now = table.now.Add(sourceGracePeriod / 2)
	if source() {
		t.Error("a replica that began to leave long ago is a source")
	}
	table.Merge([]Entry{entry("a", 4)})
	if !source() {
		t.Error("a replica that is ready again is not a source")
	}
}

func TestTombstonesExpire(t *testing.T) {
	table := newTestTable()
	table.MergeSnapshot(positionAt(10), []Entry{entry("a", 3)}, false)
	table.MergeSnapshot(positionAt(12), nil, false)
	table.Expire(time.Second)
	if n := len(table.DifferingEntries(make([]uint64, 1))); n != 1 {
		t.Errorf("%d entries right after the removal, want 1", n)
	}
	table.now = table.now.Add(2 * tombstoneTTL)
	table.Expire(time.Second)
	if n := len(table.DifferingEntries(make([]uint64, 1))); n != 0 {
		t.Errorf("%d entries after %v, want none", n, 2*tombstoneTTL)
	}
}

func TestLapsedEntriesAreKept(t *testing.T) {
	table := newTestTable()
	table.MergeSnapshot(positionAt(10), []Entry{entry("a", 3), entry("b", 4)}, false)
	table.MergeSnapshot(positionAt(20), nil, true) // after an outage of the store
	if n := len(table.Ready("s")); n != 2 {
		t.Errorf("%d replicas are ready right after an outage, want 2", n)
	}
	table.MergeSnapshot(positionAt(22), []Entry{entry("a", 21)}, true)
	table.MergeSnapshot(positionAt(24), []Entry{entry("a", 21)}, false)
	if diff := cmp.Diff([]string{"a"}, ids(table.Ready("s"))); diff != "" {
		t.Errorf("ready after the outage (-want +got):\n%s", diff)
	}
}

func TestRestartResetsHealth(t *testing.T) {
	table := newTestTable()
	table.Merge([]Entry{entry("a", 3)})
	old := table.Ready("s")[0]
	old.Record(table.now, Misdirected)
	e := entry("a", 5)
	e.StartedAt = 2
	table.Merge([]Entry{e})
	if r := table.Ready("s")[0]; r == old || r.Ejected(table.now) {
		t.Error("a restarted replica has the health of its previous start")
	}
}

// TestDifferingEntries compares two tables of a large service that differ in one replica: only
// a small fraction of the entries is exchanged.
func TestDifferingEntries(t *testing.T) {
	const many = 3000
	ahead, behind := newTestTable(), newTestTable()
	var entries []Entry
	for i := range many {
		entries = append(entries, entry(fmt.Sprint("i", i), 1))
	}
	ahead.Merge(entries)
	behind.Merge(entries)
	if got := ahead.DifferingEntries(behind.BucketDigests()); len(got) != 0 {
		t.Errorf("%d entries of equal tables differ", len(got))
	}
	leaving := entry("i7", 2)
	leaving.Leaving = true
	ahead.Merge([]Entry{leaving})
	got := ahead.DifferingEntries(behind.BucketDigests())
	if len(got) == 0 || len(got) > 2*many/bucketCount {
		t.Errorf("%d entries are exchanged for one change", len(got))
	}
	behind.Merge(got)
	if ahead.Digest() != behind.Digest() {
		t.Error("the tables still differ")
	}
	if n := len(ahead.DifferingEntries(newTestTable().BucketDigests())); n != many {
		t.Errorf("an empty table gets %d of %d entries", n, many)
	}
	if n := len(ahead.DifferingEntries(nil)); n != 0 {
		t.Errorf("%d entries are returned without digests to compare", n)
	}
}
