package peridotusher

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRankUnchangedForRemainingCandidates(t *testing.T) {
	var all []Weighted
	for i := range 20 {
		all = append(all, Weighted{Name: fmt.Sprintf("engine-%02d", i), Weight: 1})
	}
	remaining := all[:len(all)-1]
	removed := all[len(all)-1].Name
	for i := range 500 {
		key := fmt.Sprintf("chat-%d", i)
		before := Rank(key, all)
		var want []string
		for _, name := range before {
			if name != removed {
				want = append(want, name)
			}
		}
		if diff := cmp.Diff(want, Rank(key, remaining)); diff != "" {
			t.Fatalf("Rank(%q) after a leave (-want +got):\n%s", key, diff)
		}
	}
}
