package replicas

import (
	"slices"
	"testing"

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
		due, _ := table.DueProbes()
		out = append(out, due...)
	}
	list := ids(out)
	slices.Sort(list)
	return list
}

// TestReturnedReplicaIsProbed guards against a replica that is listed again and never probed, so that
// the other replicas get all of its requests.
func TestReturnedReplicaIsProbed(t *testing.T) {
	removed, leaving, otherSlots := entry("a", 2), entry("a", 2), entry("a", 3)
	removed.Removed, leaving.Leaving, otherSlots.Slots = true, true, 8
	for name, change := range map[string][]Entry{
		"removed": {removed, entry("a", 3)}, "leaving": {leaving, entry("a", 3)}, "changed": {removed, otherSlots},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTestTable()
			table.Merge([]Entry{entry("a", 1), entry("b", 1)})
			table.MarkUnreachable(table.Ready("s")[0])
			<-table.UnreachableSignal()
			table.DueProbes()
			table.Merge(change[:1])
			table.now = table.now.Add(minProbeInterval)
			_, wait := table.DueProbes()
			table.now = table.now.Add(10 * maxProbeInterval)
			table.Merge(change[1:])
			if diff := cmp.Diff([]string{"a", "b"}, usedOrProbed(table, wait > 0)); diff != "" {
				t.Errorf("replicas that are used or probed after the return (-want +got):\n%s", diff)
			}
		})
	}
}
