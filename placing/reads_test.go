package placing

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestReads(t *testing.T) {
	clock := &fakeClock{time.Unix(100, 0)}
	r := NewReads(clock)
	p, q := Placement{1, 10}, Placement{1, 11}
	first, second := r.Begin(p), r.Begin(p)
	if !r.Reading(p) || r.Reading(q) {
		t.Error("Reading is wrong for one of the replicas")
	}
	first()
	first() // must have no further effect
	if !r.Reading(p) {
		t.Error("the end of the first read also ended the second one")
	}
	if diff := cmp.Diff([]Placement{p}, r.Own()); diff != "" {
		t.Errorf("own reads (-want +got):\n%s", diff)
	}
	second()
	if r.Reading(p) || len(r.Own()) != 0 {
		t.Error("a read is reported after it ended")
	}
}

func TestReadsOfOtherRouters(t *testing.T) {
	clock := &fakeClock{time.Unix(100, 0)}
	r := NewReads(clock)
	p, q := Placement{1, 10}, Placement{2, 10}
	r.Merge("r1", []Placement{p})
	r.Merge("r2", []Placement{p, q})
	r.Merge("r2", []Placement{q})
	if !r.Reading(p) || !r.Reading(q) {
		t.Error("Reading ignores reads of other routers")
	}
	r.Merge("r1", nil)
	if r.Reading(p) {
		t.Error("a read is reported after its router reported the end")
	}
	clock.now = clock.now.Add(2 * readsTTL)
	if r.Reading(q) {
		t.Error("a read is reported after readsTTL without a report of its router")
	}
	for i := range 2 * uint64(maxReportedReads) {
		r.Begin(Placement{i, 1})
	}
	if n := len(r.Own()); n != maxReportedReads {
		t.Errorf("%d reads are published, limit %d", n, maxReportedReads)
	}
}
