package config

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTreesReachEverybody follows the push trees of three revisions in zones of
// several sizes. All routers must be reached, also if any one of them has departed
// and the others still count it as live.
func TestTreesReachEverybody(t *testing.T) {
	for _, size := range []int{1, 2, 3, 8, 60} {
		var live []string
		for n := range size {
			live = append(live, fmt.Sprint("router-", n))
		}
		watchers := selectWatchers(headKey, live)
		missed := 0
		for revision := range uint64(3) {
			if diff := cmp.Diff(size, len(reachedRouters(live, watchers, revision, ""))); diff != "" {
				t.Errorf("%d routers, revision %d: reached (-want +got):\n%s", size, revision, diff)
			}
			for _, departed := range live {
				missed += size - 1 - len(reachedRouters(live, watchers, revision, departed))
			}
		}
		if diff := cmp.Diff(0, missed); diff != "" {
			t.Errorf("%d routers: not reached because of one departed router, sum of all cases (-want +got):\n%s", size, diff)
		}
	}
}

// reachedRouters returns the routers that a revision reaches from the watchers
// if departed, which may be empty, is not running.
func reachedRouters(live, watchers []string, revision uint64, departed string) []string {
	var known []string
	for _, w := range watchers {
		if w != departed {
			known = append(known, w)
		}
	}
	for i := 0; i < len(known); i++ {
		for _, child := range pushTargets(live, known[i], revision) {
			if name := string(child); name != departed && !slices.Contains(known, name) {
				known = append(known, name)
			}
		}
	}
	return known
}
