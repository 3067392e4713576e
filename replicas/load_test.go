package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestLoadsOfOtherRouters(t *testing.T) {
	table := newTestTable()
	table.Merge([]Entry{entry("a", 3)})
	a := table.Ready("s")[0]
	defer a.Acquire()()
	table.MergeCounts("r1", 1, []Count{{Replica: a.Hash(), Held: 3}, {Replica: 99, Held: 50}})
	table.MergeCounts("r2", 1, []Count{{Replica: a.Hash(), Held: 2}})
	if a.Load() != 6 {
		t.Errorf("held = %d, want 6", a.Load())
	}
	table.MergeCounts("r1", 1, []Count{{Replica: a.Hash(), Held: 1}})
	if a.Load() != 4 {
		t.Errorf("held = %d, want 4", a.Load())
	}
	table.MergeCounts("r1", 1, nil)
	if a.Load() != 3 {
		t.Errorf("held = %d after a heartbeat without the replica, want 3", a.Load())
	}
	const ttl = time.Second
	table.now = table.now.Add(2 * ttl)
	table.Expire(ttl)
	if a.Load() != 1 {
		t.Errorf("held = %d after the counts of other routers expired, want 1", a.Load())
	}
}

// TestReportsInALargeFleet takes loads from the replicas' reports instead of from the counts of
// other routers, which are many seconds old in a large fleet.
func TestReportsInALargeFleet(t *testing.T) {
	table := newTestTable()
	table.Merge([]Entry{entry("a", 3), entry("b", 3)})
	a, other := table.Ready("s")[0], table.Ready("s")[1]
	defer a.Acquire()()
	table.MergeCounts("r1", 1, []Count{{Replica: a.Hash(), Held: 3}, {Replica: other.Hash(), Held: 2}})
	a.ReportLoad(table.now, 9)
	table.Expire(time.Minute)
	if a.Load() != 4 || len(table.Reports(10)) != 0 {
		t.Errorf("held = %d with %d reports in a small fleet, want 4 and none", a.Load(), len(table.Reports(10)))
	}
	table.SetUsesReports(true)
	table.Expire(time.Minute)
	if a.Load() != 9 || other.Load() != 2 {
		t.Errorf("held = %d and %d, want 9 as reported and 2 as counted", a.Load(), other.Load())
	}
	release := a.Acquire()
	if a.Load() != 10 {
		t.Errorf("held = %d after another request of this router, want 10", a.Load())
	}
	release()
	table.now = table.now.Add(reportTTL / 2)
	if diff := cmp.Diff([]Report{{Replica: a.Hash(), Load: 9, Age: reportTTL / 2}},
		table.Reports(10)); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
	table.MergeReports([]Report{{Replica: a.Hash(), Load: 30, Age: reportTTL}, {Replica: other.Hash(), Load: 5}})
	table.Expire(time.Minute)
	if a.Load() != 9 || other.Load() != 5 {
		t.Errorf("held = %d and %d after a stale and a new report, want 9 and 5", a.Load(), other.Load())
	}
	table.now = table.now.Add(2 * reportTTL)
	table.Expire(time.Minute)
	if a.Load() != 4 || other.Load() != 2 {
		t.Errorf("held = %d and %d after the reports expired, want 4 and 2", a.Load(), other.Load())
	}
}

// TestRecentCounts has a router with requests at a few of many replicas: it publishes counts
// only for replicas with requests or recent outcomes, and in a large fleet only the latest.
func TestRecentCounts(t *testing.T) {
	const many, ttl = 40, time.Second
	table := newTestTable()
	var entries []Entry
	for i := range many {
		entries = append(entries, entry(fmt.Sprint("i", i), 1))
	}
	table.Merge(entries)
	ready := table.Ready("s")
	defer ready[0].Acquire()()
	ready[1].Record(table.now, Good)
	table.now = table.now.Add(2 * ttl)
	ready[2].Record(table.now, Failed)
	want := []Count{{Replica: ready[2].Hash(), Bad: 1}, {Replica: ready[0].Hash(), Held: 1}}
	if diff := cmp.Diff(want, table.Counts(ttl)); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	for _, r := range ready {
		r.Record(table.now, Good)
	}
	if n := len(table.Counts(ttl)); n != many {
		t.Errorf("%d counts are published, want %d", n, many)
	}
	table.SetUsesReports(true)
	if n := len(table.Counts(ttl)); n != maxCounts {
		t.Errorf("%d counts are published in a large fleet, want %d", n, maxCounts)
	}
}

// TestReportShowsReplicaAlive has another router forward a replica's report: the replica is
// alive, though this router has no outcome of its own.
func TestReportShowsReplicaAlive(t *testing.T) {
	table := newTestTable()
	table.Merge([]Entry{entry("a", 1)})
	r := table.Ready("s")[0]
	if r.Alive(table.now) {
		t.Error("a replica that got no request is alive")
	}
	table.MergeReports([]Report{{Replica: r.Hash(), Load: 2, Age: time.Second}})
	if !r.Alive(table.now) {
		t.Error("a replica that answered another router a second ago is not alive")
	}
	if r.Alive(table.now.Add(aliveTTL)) {
		t.Error("the report shows the replica as alive for too long")
	}
}
