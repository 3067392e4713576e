package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// TestEachChangeIsPublished guards against a change that is never published because newer ones
// replace it: there are more changes than one message holds.
func TestEachChangeIsPublished(t *testing.T) {
	const limit, messages, ttl = 4, 3, time.Minute
	now := time.Unix(1000, 0)
	table := NewTable(peridotusher.ClockFunc(func() time.Time { return now }))
	var want []string
	for i := range limit * messages {
		id := fmt.Sprint("m", i/10, i%10)
		table.Merge([]Entry{{ID: id, Service: "s", Address: "a:1", Revision: int64(i + 1), Leaving: i < limit}})
		want = append(want, id)
		now = now.Add(time.Second)
	}
	got := make(map[string]int)
	for m := range messages {
		for _, e := range table.RecentChanges(limit, ttl) {
			got[e.ID]++
			if m == 0 && !e.Leaving {
				t.Errorf("%s is in the first message, before the leaving replicas", e.ID)
			}
		}
	}
	for _, id := range want {
		if diff := cmp.Diff(1, got[id]); diff != "" {
			t.Errorf("messages that contain %s (-want +got):\n%s", id, diff)
		}
	}
}
