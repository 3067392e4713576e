package replicas

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// usedOrProbed returns the ids of the ready replicas that are reachable, and of those that are probed
// next. The prober runs if timer is set or the table signals it.
func usedOrProbed(table *testTable, timer bool) []string {
	var out []*Replica
	for _, r := range table.Ready("s") {
		if !r.Unreachable() {
			out = append(out, r)
		}
	}
	select {
	case <-table.UnreachableSignal():
		timer = true
	default:
	}
	if timer {
		due, wait := table.DueProbes()
		table.now = table.now.Add(wait)
		next, _ := table.DueProbes()
		out = append(out, append(due, next...)...)
	}
	list := ids(out)
	slices.Sort(list)
	return slices.Compact(list)
}

// TestReturnedReplicaIsProbed guards against a replica that is listed again and never probed, so that
// the other replicas get all of its requests.
func TestReturnedReplicaIsProbed(t *testing.T) {
	removed, leaving, otherSlots := entry("a", 2), entry("a", 2), entry("a", 3)
	removed.Removed, leaving.Leaving, otherSlots.Slots = true, true, 8
	for _, tt := range []struct {
		name   string
		change []Entry
		after  time.Duration
	}{
		{"removed", []Entry{removed, entry("a", 3)}, 10 * maxProbeInterval},
		{"removed for less than a probe interval", []Entry{removed, entry("a", 3)}, time.Millisecond},
		{"leaving", []Entry{leaving, entry("a", 3)}, 10 * maxProbeInterval},
		{"changed", []Entry{removed, otherSlots}, 10 * maxProbeInterval},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := newTestTable()
			table.Merge([]Entry{entry("a", 1), entry("b", 1)})
			table.MarkUnreachable(table.Ready("s")[0])
			<-table.UnreachableSignal()
			table.DueProbes()
			table.Merge(tt.change[:1])
			table.now = table.now.Add(minProbeInterval / 2)
			_, wait := table.DueProbes()
			table.now = table.now.Add(tt.after)
			table.Merge(tt.change[1:])
			if diff := cmp.Diff([]string{"a", "b"}, usedOrProbed(table, wait > 0)); diff != "" {
				t.Errorf("replicas that are used or probed after the return (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPlannedExitsMarkNoZone guards against a zone whose replicas get no requests because two of them
// have exited as planned.
func TestPlannedExitsMarkNoZone(t *testing.T) {
	for _, tt := range []struct {
		name    string
		leaving bool
		want    []string
	}{
		{"planned exits", true, []string{"c", "d"}},
		{"unreachable replicas", false, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := newTestTable()
			table.Merge([]Entry{entry("a", 1), entry("b", 1), entry("c", 1), entry("d", 1)})
			ending := table.Ready("s")[:2]
			for _, r := range ending {
				if tt.leaving {
					table.MarkLeaving(r)
				}
			}
			table.now = table.now.Add(time.Second)
			for _, r := range ending {
				table.MarkUnreachable(r)
			}
			var reachable []string
			for _, r := range table.Ready("s") {
				if !r.Unreachable() {
					reachable = append(reachable, r.ID())
				}
			}
			if diff := cmp.Diff(tt.want, reachable); diff != "" {
				t.Errorf("reachable (-want +got):\n%s", diff)
			}
		})
	}
}
