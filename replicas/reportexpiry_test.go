package replicas

import (
	"testing"
	"time"
)

// TestRoutersDropAReportOneAfterTheOther guards against a replica that gets requests of all routers at
// once because they stop using its last report at the same time.
func TestRoutersDropAReportOneAfterTheOther(t *testing.T) {
	const routers, step, window, maxShare = 200, 250 * time.Millisecond, 500 * time.Millisecond, 0.4
	var tables []*testTable
	for range routers {
		table := newTestTable()
		table.Merge([]Entry{entry("a", 64)})
		table.SetUsesReports(true)
		table.MergeReports([]Report{{Replica: table.Ready("s")[0].Hash(), Load: 13}})
		tables = append(tables, table)
	}
	inUse := func() (n int) {
		for _, table := range tables {
			table.Expire(time.Minute)
			if table.Ready("s")[0].Load() == 13 {
				n++
			}
			table.now = table.now.Add(step)
		}
		return n
	}
	counts := []int{inUse()}
	if counts[0] != routers {
		t.Fatalf("%d routers use a new report, want %d", counts[0], routers)
	}
	for counts[len(counts)-1] > 0 && len(counts) < 100 {
		counts = append(counts, inUse())
	}
	if last := counts[len(counts)-1]; last != 0 {
		t.Errorf("%d routers use the report after %v, want none", last, 100*step)
	}
	const steps = int(window / step)
	for i := steps; i < len(counts); i++ {
		if share := float64(counts[i-steps]-counts[i]) / routers; share > maxShare {
			t.Errorf("%.2f of the routers drop the report within %v, want at most %v", share, window, maxShare)
		}
	}
}
