package replicas

import (
	"testing"
	"time"
)

// TestBackoff has an overloaded replica ask for a back-off. It gets no requests until the
// back-off ends, then one at a time until one succeeds, then all again.
func TestBackoff(t *testing.T) {
	table := newTestTable()
	table.Merge([]Entry{entry("a", 1), entry("b", 2)})
	all := table.Ready("s")
	a := all[0]
	if got := len(Accepting(table.now, all)); got != 2 {
		t.Fatalf("%d accept requests before any back-off", got)
	}
	a.Backoff(table.now, 1500*time.Millisecond)
	a.Backoff(table.now, time.Second) // a shorter back-off does not end the first one sooner
	table.now = table.now.Add(1400 * time.Millisecond)
	if got := ids(Accepting(table.now, all)); len(got) != 1 || got[0] != "b" {
		t.Errorf("%v accept requests", got)
	}
	if got := EarliestRetry(table.now, all[:1]); got != 100*time.Millisecond {
		t.Errorf("the back-off ends in %v", got)
	}
	table.now = table.now.Add(200 * time.Millisecond)
	if got := len(Accepting(table.now, all)); got != 2 {
		t.Errorf("%d accept requests after the back-off", got)
	}
	release := a.Acquire()
	if got := len(Accepting(table.now, all)); got != 1 {
		t.Errorf("%d accept requests during the first trial request", got)
	}
	release()
	a.Record(table.now, Failed)
	defer a.Acquire()()
	if got := len(Accepting(table.now, all)); got != 1 {
		t.Errorf("%d accept requests during the second trial request", got)
	}
	a.Record(table.now, Good)
	if got := len(Accepting(table.now, all)); got != 2 {
		t.Errorf("%d accept requests after a request succeeded", got)
	}
	a.Backoff(table.now, 24*time.Hour)
	if got := a.BackoffRemaining(table.now); got != MaxBackoff {
		t.Errorf("a back-off of a day lasts %v", got)
	}
	a.Record(table.now, Good) // a request that it received before the back-off
	if got := a.BackoffRemaining(table.now); got != MaxBackoff {
		t.Errorf("%v of the back-off remain after a request succeeded", got)
	}
}
