package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDetectOutliers has replicas fail some of their requests and checks which are ejected.
func TestDetectOutliers(t *testing.T) {
	tests := []struct {
		name    string
		fails   []int // of 10 requests, by replica
		remote  bool  // whether another router had the requests
		ejected int
	}{
		{"all healthy", []int{0, 0, 0, 0, 0}, false, 0},
		{"usual errors everywhere", []int{2, 1, 2, 1, 2}, false, 0},
		{"one partly failing", []int{0, 6, 0, 0, 1}, false, 1},
		{"one partly failing, at another router", []int{0, 6, 0, 0, 1}, true, 1},
		{"all partly failing", []int{5, 5, 5, 5, 5}, false, 0},
		{"most partly failing", []int{8, 8, 8, 0, 0}, false, 2},
		{"one of three partly failing", []int{0, 9, 0}, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTestTable()
			var entries []Entry
			for i := range tt.fails {
				entries = append(entries, entry(fmt.Sprint(i), 1))
			}
			table.Merge(entries)
			all := table.Ready("s")
			if tt.remote {
				table.MergeCounts("r1", 1, newCounts(all, nil))
				table.MergeCounts("r1", 1, newCounts(all, tt.fails))
			} else {
				for i, r := range all {
					for n := range 10 {
						o := Good
						if n < tt.fails[i] {
							o = Failed
						}
						r.Record(table.now, o)
					}
				}
			}
			if got := len(DetectOutliers(table.now, all)); got != tt.ejected {
				t.Errorf("%d outliers, want %d", got, tt.ejected)
			}
			healthy := Healthy(table.now, all)
			if got := len(all) - len(healthy); got != tt.ejected {
				t.Errorf("%d replicas are ejected, want %d", got, tt.ejected)
			}
			table.now = table.now.Add(minEjection + time.Millisecond)
			for _, r := range all {
				if r.Ejected(table.now) {
					t.Errorf("replica %s is still ejected after the ejection time", r.ID())
				}
			}
		})
	}
}

// newCounts returns counts with 10 outcomes per replica, or with none if fails is nil.
func newCounts(all []*Replica, fails []int) []Count {
	var out []Count
	for i, r := range all {
		c := Count{Replica: r.Hash()}
		if fails != nil {
			c.Good, c.Bad = uint32(10-fails[i]), uint32(fails[i])
		}
		out = append(out, c)
	}
	return out
}

func TestRepeatedEjectionsLastLonger(t *testing.T) {
	table := newTestTable()
	table.Merge([]Entry{entry("a", 1), entry("b", 1)})
	a := table.Ready("s")[0]
	var lengths []time.Duration
	for range 3 {
		a.Record(table.now, Misdirected)
		began := table.now
		for a.Ejected(table.now) {
			table.now = table.now.Add(10 * time.Millisecond)
		}
		lengths = append(lengths, table.now.Sub(began).Round(100*time.Millisecond))
	}
	want := []time.Duration{700 * time.Millisecond, 1400 * time.Millisecond, 2800 * time.Millisecond}
	if diff := cmp.Diff(want, lengths); diff != "" {
		t.Errorf("ejection times (-want +got):\n%s", diff)
	}
}

// TestZonePartition has a zone become unreachable: after failed connections to two of its
// replicas the others get no requests either, until connections succeed again.
func TestZonePartition(t *testing.T) {
	table := newTestTable()
	var entries []Entry
	for i := range 9 {
		e := entry(fmt.Sprint(i), 1)
		e.Zone = []string{"a", "b", "c"}[i%3]
		entries = append(entries, e)
	}
	table.Merge(entries)
	all := table.Ready("s")
	if unreachable := table.MarkUnreachable(all[0]); len(unreachable) != 1 {
		t.Fatalf("%d replicas are unreachable after one failed connection, want 1", len(unreachable))
	}
	all[6].Record(table.now, Good)
	table.MarkUnreachable(all[3])
	if diff := cmp.Diff([]string{"1", "2", "4", "5", "6", "7", "8"}, ids(Healthy(table.now, all))); diff != "" {
		t.Errorf("healthy after a recent answer of 6 (-want +got):\n%s", diff)
	}
	table.now = table.now.Add(2 * recentAnswerWindow)
	table.MarkReachable(all[0])
	if unreachable := table.MarkUnreachable(all[0]); len(unreachable) != 2 {
		t.Errorf("%d replicas are marked unreachable with the zone, want 2", len(unreachable))
	}
	due, wait := table.DueProbes()
	if len(due) != 3 || wait != minProbeInterval {
		t.Errorf("%d probes are due, the next one after %v, want 3 and %v", len(due), wait, minProbeInterval)
	}
	if due, wait := table.DueProbes(); len(due) != 0 || wait != minProbeInterval {
		t.Errorf("%d probes are due again at once, the next one after %v", len(due), wait)
	}
	for _, r := range all {
		table.MarkReachable(r)
	}
	if got := len(Healthy(table.now, all)); got != len(all) {
		t.Errorf("%d of %d replicas are healthy after the partition", got, len(all))
	}
	if due, wait := table.DueProbes(); len(due) != 0 || wait != 0 {
		t.Errorf("no replica is unreachable, %d probes are due, the next one after %v", len(due), wait)
	}
}
