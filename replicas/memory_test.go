package replicas

import "testing"

// TestReservedTokens guards against reserved tokens that are never released, or released twice.
func TestReservedTokens(t *testing.T) {
	table := newTestTable()
	table.Merge([]Entry{entry("a", 1)})
	r := table.Ready("s")[0]
	want := func(when string, tokens int) {
		t.Helper()
		if got := r.ReservedTokens(); got != tokens {
			t.Errorf("%s: %d tokens, want %d", when, got, tokens)
		}
	}
	want("idle", 0)
	first, second := r.ReserveTokens(1000), r.ReserveTokens(500)
	want("with two requests", 1500)
	first()
	first()
	want("after one has ended", 500)
	second()
	want("after both have ended", 0)
}
