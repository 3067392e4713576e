package entry

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// TestClosedClaimsAreRefused asks a table whose Run is ending for a claim. No
// writer starts, and the caller is not told that nothing ran: the key may have
// been used before.
func TestClosedClaimsAreRefused(t *testing.T) {
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
