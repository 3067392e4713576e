package replicas

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSinceReady guards against ready times that are too late or much too early, by how a table learns of a departure.
func TestSinceReady(t *testing.T) {
	const (
		listed = 500 * time.Millisecond
		told   = 2 * time.Second
		step   = time.Second
		never  = 0 * time.Second
	)
	type action func(*testTable)
	change := func(revision int64, sinceReady time.Duration, modify func(*Entry)) action {
		e := entry("a", revision)
		modify(&e)
		e.SinceReady = sinceReady
		return func(table *testTable) { table.Merge([]Entry{e}) }
	}
	ready := func(*Entry) {}
	wait := func(table *testTable) { table.now = table.now.Add(step) }
	list := func(table *testTable) { table.RecordAllReady(table.now) }
	emptyList := func(table *testTable) { table.MergeSnapshot(positionAt(3), nil, false) }
	announce := func(table *testTable) { table.MarkLeaving(table.Ready("s")[0]) }
	tests := []struct {
		name    string
		actions []action // before one more step
		want    time.Duration
	}{
		{"ready", nil, listed + step},
		{"written again", []action{change(2, never, ready)}, listed + step},
		{"leaving", []action{change(2, never, leaving)}, listed + step},
		{"leaving, ready earlier as told", []action{change(2, told, leaving)}, listed + step},
		{"leaving, ready later as told", []action{change(2, 1, leaving)}, step},
		{"leaving, told with a delay", []action{change(2, listed-minReadyTimeGain, leaving)}, listed + step},
		{"removed", []action{change(2, never, removed)}, listed + step},
		{"not in the list", []action{emptyList}, listed + step},
		{"announced", []action{announce}, listed + step},
		{"announced, leaving", []action{announce, wait, change(2, never, leaving)}, listed + 2*step},
		{"announced, ready in the store", []action{announce, wait, change(2, never, ready), list}, listed + 2*step},
		{"announced, ready later as told", []action{announce, wait, change(2, 1, leaving)}, 2 * step},
		{"leaving, removed", []action{change(2, never, leaving), wait, list, change(3, never, removed)}, listed + 2*step},
		{"leaving, replaced record", []action{change(2, never, leaving), wait, change(3, never, func(e *Entry) { e.Leaving, e.Slots = true, 9 })}, listed + 2*step},
		{"leaving, ready again", []action{change(2, told, leaving), wait, change(3, never, ready)}, listed + 2*step},
		{"leaving, told of another start", []action{change(2, never, leaving), change(1, 1, func(e *Entry) { e.StartedAt, e.Leaving = 9, true })}, listed + step},
		{"restarted", []action{change(2, never, func(e *Entry) { e.StartedAt = 2 })}, never},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTestTable()
			table.Merge([]Entry{entry("a", 1)})
			table.RecordAllReady(table.now.Add(-listed))
			table.RecordAllReady(table.now.Add(-told)) // this read took longer
			r := table.Ready("s")[0]
			for _, act := range tt.actions {
				act(table)
			}
			wait(table)
			got, ok := table.SinceReady(r)
			if diff := cmp.Diff(tt.want, got.Round(time.Millisecond)); diff != "" || ok != (tt.want > 0) {
				t.Errorf("known %v, since ready (-want +got):\n%s", ok, diff)
			}
		})
	}
}

// TestSinceReadyIsPublished guards against ready times that stay unknown to routers that read no list.
func TestSinceReadyIsPublished(t *testing.T) {
	const listed, published = 500 * time.Millisecond, 300 * time.Millisecond
	for name, depart := range map[string]func(*testTable) []Entry{
		"leaving": func(table *testTable) []Entry {
			e := entry("a", 2)
			e.Leaving = true
			return table.Merge([]Entry{e})
		},
		"not in the list": func(table *testTable) []Entry { return table.MergeSnapshot(positionAt(3), nil, false) },
		"announced":       func(table *testTable) []Entry { return table.MarkLeaving(table.Ready("s")[0]) },
		"heartbeat": func(table *testTable) []Entry {
			table.MarkLeaving(table.Ready("s")[0])
			return table.RecentChanges(1, time.Minute)
		},
		"fetch": func(table *testTable) []Entry {
			table.MarkLeaving(table.Ready("s")[0])
			return table.DifferingEntries(newTestTable().BucketDigests()[:1])
		},
	} {
		t.Run(name, func(t *testing.T) {
			reader, other := newTestTable(), newTestTable()
			for _, table := range []*testTable{reader, other} {
				table.Merge([]Entry{entry("a", 1)})
			}
			r := other.Ready("s")[0]
			reader.RecordAllReady(reader.now.Add(-listed))
			if _, ok := other.SinceReady(r); ok {
				t.Error("known before any list")
			}
			other.Merge(depart(reader))
			other.now = other.now.Add(published)
			got, _ := other.SinceReady(r)
			if diff := cmp.Diff(listed+published, got); diff != "" {
				t.Errorf("since ready (-want +got):\n%s", diff)
			}
		})
	}
}
