package edge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/replicas"
)

// TestTimesAfterStallAreUnknown guards against planned exits that count as crashes because a departure waited in the queue of a stalled router.
func TestTimesAfterStallAreUnknown(t *testing.T) {
	now := time.Unix(0, 0)
	tests := map[string]struct {
		stall  time.Duration // after the last tick
		ticked bool          // whether there was a tick since the stall
		after  time.Duration // between that tick and the datagram
		want   bool          // whether the time is used
	}{
		"no stall":                 {housekeepingInterval, true, 0, true},
		"too short to notice":      {maxUnnoticedStall, true, 0, true},
		"stall, not noticed yet":   {2 * maxUnnoticedStall, false, 0, false},
		"stall, just noticed":      {2 * maxUnnoticedStall, true, 0, false},
		"stall, some time ago":     {2 * maxUnnoticedStall, true, housekeepingInterval, false},
		"stall, queue was handled": {2 * maxUnnoticedStall, true, stallAftermath, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var d stallDetector
			d.tick(now)
			at := now.Add(tt.stall)
			if tt.ticked {
				d.tick(at)
			}
			for left := tt.after; left > 0; left -= housekeepingInterval {
				at = at.Add(housekeepingInterval)
				d.tick(at)
			}
			if diff := cmp.Diff(tt.want, !d.recent(at)); diff != "" {
				t.Errorf("used (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStalledRouterForgetsTimes guards against the same where heartbeats, datagrams and fetches are merged.
func TestStalledRouterForgetsTimes(t *testing.T) {
	merge := map[string]func(state, []replicas.Entry) error{
		"heartbeat": func(s state, e []replicas.Entry) error { s.Merge(&mesh.Heartbeat{Changes: e}); return nil },
		"datagram":  func(s state, e []replicas.Entry) error { s.ApplyChanges(e); return nil },
		"fetch":     func(s state, e []replicas.Entry) error { return s.Apply(&mesh.SyncResponse{Entries: e}) },
	}
	for name, f := range merge {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			now := r.clock.Now()
			r.lists.readAt, r.lists.outageEnd = now, now.Add(-time.Hour)
			r.table.Merge([]replicas.Entry{{ID: "a", Service: "s", Revision: 1}})
			a := r.table.Ready("s")[0]
			r.stalls = stallDetector{tickedAt: now.Add(-2 * maxUnnoticedStall)}
			if err := f(state{r}, []replicas.Entry{{ID: "a", Service: "s", Leaving: true, Revision: 2, SinceReady: time.Second}}); err != nil {
				t.Fatal(err)
			}
			if since, known := r.table.SinceReady(a); known {
				t.Errorf("ready %v ago", since)
			}
		})
	}
}
