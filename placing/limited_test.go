package placing

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPartsStayWhereReplicasLimitTheirRate guards against parts that are read anew with each request, at
// replicas that limit their request rates or at those that have to take the rest.
func TestPartsStayWhereReplicasLimitTheirRate(t *testing.T) {
	type candidate struct {
		Load    int
		Limited bool
	}
	tests := []struct {
		name    string
		cs      []candidate
		holders []uint32
		want    uint32 // hash: the position in cs, from 1 on
		reason  string
	}{
		{"a limited holder with a token", []candidate{{2, true}, {9, false}, {9, false}}, []uint32{1}, 1, ReasonHolder},
		{"no holder: one without a limit reads it", []candidate{{0, true}, {0, true}, {1, false}}, nil, 3, ReasonHome},
		{"only limited ones have capacity", []candidate{{0, true}, {30, false}, {30, false}}, nil, 1, ReasonHome},
		{"a holder above the limit, near the lowest load", []candidate{{0, true}, {30, false}, {36, false}}, []uint32{3}, 3, ReasonHolder},
		{"a holder far above the lowest load", []candidate{{0, true}, {30, false}, {60, false}}, []uint32{3}, 1, ReasonHome},
		{"none has capacity", []candidate{{50, false}, {30, false}, {60, false}}, []uint32{3}, 2, ReasonLeastLoaded},
	}
	for _, tt := range tests {
		var cs []Candidate
		for i, c := range tt.cs {
			cs = append(cs, Candidate{Hash: uint32(i + 1), Slots: 64, Load: c.Load, Limited: c.Limited})
		}
		// Many idle replicas have no token, so that the limit for the load is low.
		p := Prompt{Key: 99, MaxLoadFactor: 2, Holders: tt.holders, Limited: true, Excluded: 6}
		choice, _ := p.Choose(cs)
		if diff := cmp.Diff([]any{tt.want, tt.reason}, []any{cs[choice.Index].Hash, choice.Reason}); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}
