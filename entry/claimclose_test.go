package entry

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// TestClosedClaimTableRefusesClaims claims a key at a table whose Run is ending. The
// claim fails without starting a queue. Its verdict must not be NotRun, because an
// earlier call with the key may have run.
func TestClosedClaimTableRefusesClaims(t *testing.T) {
	f := startClaims(t, 1)
	f.tables[0].once.Do(f.tables[0].init)
	f.tables[0].close()
	change := peridotusher.ClaimChange{Action: peridotusher.ActionClaim}
	_, err := f.tables[0].Change(context.Background(), newKey(t), change)
	failure := peridotusher.AsFailure(err)
	if diff := cmp.Diff(peridotusher.MayHaveRun, failure.Verdict()); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(peridotusher.CauseStoreDown, failure.Cause()); diff != "" {
		t.Errorf("cause (-want +got):\n%s", diff)
	}
}
