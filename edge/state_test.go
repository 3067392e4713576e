package edge

import (
	"fmt"
	"testing"
	"time"

	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/replicas"
)

// quiet is a log that keeps nothing.
type quiet struct{}

func (quiet) Event(string, ...any) {}

func newTestRouter(t *testing.T) *Router {
	t.Helper()
	s, problems := Parse("edge.ini", []byte(rendered(t, true)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	r := &Router{Settings: s, Log: quiet{}}
	r.init()
	return r
}

// TestBeatNamesARelease has as many replicas leave and come at once as in a
// release of a large service: one beat has to name them all.
func TestBeatNamesARelease(t *testing.T) {
	const changed = 30
	r := newTestRouter(t)
	var entries []replicas.Entry
	for i := range changed {
		entries = append(entries, replicas.Entry{ID: fmt.Sprint(i), Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Revision: 1})
	}
	r.table.Offer(entries)
	for i := range entries {
		entries[i].Leaving, entries[i].Revision = true, 2
	}
	r.table.Offer(entries)
	var b mesh.Beat
	state{r}.Fill(&b)
	leaving := 0
	for _, e := range b.Changes {
		if e.Leaving {
			leaving++
		}
	}
	if leaving != changed {
		t.Errorf("the beat names %d of %d replicas that leave", leaving, changed)
	}
}

// TestStopLeavesTime checks the times of a stop: the balancer has asked twice in
// vain before new connections end, and what was taken last has more than half of
// the time to the kill.
func TestStopLeavesTime(t *testing.T) {
	const asks, requestsCounted = 2 * time.Second, 3 * time.Second
	r := newTestRouter(t)
	if outOfRotation <= asks || outOfRotation >= requestsCounted {
		t.Errorf("new connections are taken for %v, want between %v and %v", outOfRotation, asks, requestsCounted)
	}
	// Two packets in a row are lost: they are sent again after 0.2 and 0.4 s.
	const resends = 600 * time.Millisecond
	if r.front.Reuse < time.Second || r.front.Reuse+resends > outOfRotation {
		t.Errorf("clients may use idle connections again for %v, they are closed %v after a stop began", r.front.Reuse, outOfRotation)
	}
	if left, stop := r.graceLeft(), r.bounds.Load().stop; left < stop/2 || outOfRotation+left >= stop {
		t.Errorf("requests have %v of the %v to the kill", left, stop)
	}
}
