package config

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTreesReachEverybody follows the trees of some revisions in zones of
// several sizes, with each router gone in turn that the others still count.
func TestTreesReachEverybody(t *testing.T) {
	for _, size := range []int{1, 2, 3, 8, 60} {
		var live []string
		for n := range size {
			live = append(live, fmt.Sprint("router-", n))
		}
		watchers := firstRanked(headKey, live)
		cut := 0
		for revision := range uint64(3) {
			if diff := cmp.Diff(size, len(reached(live, watchers, revision, ""))); diff != "" {
				t.Errorf("%d routers, revision %d: reached (-want +got):\n%s", size, revision, diff)
			}
			for _, gone := range live {
				cut += size - 1 - len(reached(live, watchers, revision, gone))
			}
		}
		if diff := cmp.Diff(0, cut); diff != "" {
			t.Errorf("%d routers: cut off by one that is gone, in all cases together (-want +got):\n%s", size, diff)
		}
	}
}

// reached returns the routers that a revision reaches from the watchers.
func reached(live, watchers []string, revision uint64, gone string) []string {
	var known []string
	for _, w := range watchers {
		if w != gone {
			known = append(known, w)
		}
	}
	for i := 0; i < len(known); i++ {
		for _, child := range targets(live, known[i], revision) {
			if name := string(child); name != gone && !slices.Contains(known, name) {
				known = append(known, name)
			}
		}
	}
	return known
}
