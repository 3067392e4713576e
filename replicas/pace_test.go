package replicas

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// paceEvery reports readings in turn every 100 ms for a time.
func paceEvery(b *bed, r *Replica, d time.Duration, readings ...float64) {
	const interval = 100 * time.Millisecond
	for i := range int(d / interval) {
		b.now = b.now.Add(interval)
		r.ReportPace(b.now, readings[i%len(readings)])
	}
}

// TestPaceByAge guards against a reading that is used for longer than it is predictive,
// and against a slow replica that never gets requests again after its last reading.
func TestPaceByAge(t *testing.T) {
	tests := []struct {
		name     string
		readings []float64 // in turn, for 20 s
		last     float64
		age      time.Duration
		least    float64
		most     float64
	}{
		{"newest reading", []float64{1, 3}, 8, 0, 8, 8},
		{"after its time constant", []float64{1, 3}, 8, paceMemory, 3.9, 4.6},
		{"back at its own mean", []float64{1, 3}, 8, time.Second, 2.7, 2.9},
		{"back at its own mean from below", []float64{8}, 1, time.Second, 7, 7.2},
		{"before it is forgotten", []float64{8}, 8, paceQuiet, 7.9, 8},
		{"forgotten in part", []float64{8}, 8, paceQuiet + paceForget, 3.4, 3.7},
		{"forgotten", []float64{8}, 8, time.Minute, 1, 1.01},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed()
			b.Offer([]Entry{entry("a", 1)})
			r := b.Ready("s")[0]
			if r.Pace(b.now) != 1 || r.ReportsPace() {
				t.Errorf("pace %v, reported %v before the first reading", r.Pace(b.now), r.ReportsPace())
			}
			paceEvery(b, r, 20*time.Second, tt.readings...)
			paceEvery(b, r, 100*time.Millisecond, tt.last)
			if got := r.Pace(b.now.Add(tt.age)); got < tt.least || got > tt.most || !r.ReportsPace() {
				t.Errorf("pace %v, reported %v, want %v to %v", got, r.ReportsPace(), tt.least, tt.most)
			}
		})
	}
}

// TestPaceTakesNoNonsense guards against readings that are no pace or older than the last.
func TestPaceTakesNoNonsense(t *testing.T) {
	b := newBed()
	b.Offer([]Entry{entry("a", 1)})
	r := b.Ready("s")[0]
	for _, reading := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		b.now = b.now.Add(time.Millisecond)
		r.ReportPace(b.now, reading)
	}
	if r.ReportsPace() {
		t.Error("a reading that is no pace was recorded")
	}
	r.ReportPace(b.now, 2)
	r.ReportPace(b.now.Add(-time.Second), 9)
	r.ReportPace(b.now, 9)
	if got := r.Pace(b.now); got != 2 {
		t.Errorf("pace %v after older readings, want 2", got)
	}
}

// TestPaceIsHandedOn has a router forward a replica's pace to another one, where it must not
// count as newer than it is. A report without one must not count as the usual pace.
func TestPaceIsHandedOn(t *testing.T) {
	const age = 500 * time.Millisecond
	teller, listener := newBed(), newBed()
	for _, b := range []*bed{teller, listener} {
		b.SetUsesReports(true)
		b.Offer([]Entry{entry("a", 1), entry("b", 1)})
	}
	paced, other := teller.Ready("s")[0], teller.Ready("s")[1]
	paceEvery(teller, paced, 10*time.Second, 1)
	paced.ReportLoad(teller.now, 3)
	teller.now = teller.now.Add(time.Millisecond)
	paced.ReportLoad(teller.now, 4)
	paced.ReportPace(teller.now, 8)
	other.ReportLoad(teller.now, 5)
	teller.now = teller.now.Add(age)
	want := []Report{{Replica: paced.Hash(), Load: 4, Pace: 8, Age: age}, {Replica: other.Hash(), Load: 5, Age: age}}
	reports := teller.Reports(10)
	sorted := cmpopts.SortSlices(func(x, y Report) bool { return x.Load < y.Load })
	if diff := cmp.Diff(want, reports, sorted); diff != "" {
		t.Fatalf("reports (-want +got):\n%s", diff)
	}
	listener.now = teller.now
	listener.MergeReports(reports)
	heard, unpaced := listener.Ready("s")[0], listener.Ready("s")[1]
	if got := heard.Pace(listener.now.Add(-age)); got != 8 || !heard.ReportsPace() {
		t.Errorf("pace %v when it was reported, want 8", got)
	}
	if unpaced.ReportsPace() {
		t.Error("a report without a pace counts as one")
	}
	other.ReportLoad(teller.now, 6)
	paced.ReportLoad(teller.now, 6) // an answer with three figures
	for _, r := range teller.Reports(10) {
		if r.Pace != 0 {
			t.Errorf("report %+v has the pace of an earlier answer", r)
		}
	}
}
