package replicas

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// reportPaces reports one of the readings every 100 ms for a time, in rotation.
func reportPaces(table *testTable, r *Replica, d time.Duration, readings ...float64) {
	const interval = 100 * time.Millisecond
	for i := range int(d / interval) {
		table.now = table.now.Add(interval)
		r.ReportPace(table.now, readings[i%len(readings)])
	}
}

// TestPaceByAge guards against a reading that is used for longer than it is predictive, and
// against a slow replica that never gets requests again after its last reading.
func TestPaceByAge(t *testing.T) {
	tests := []struct {
		name     string
		readings []float64 // in rotation, for 20 s
		last     float64
		age      time.Duration
		minPace  float64
		maxPace  float64
	}{
		{"newest reading", []float64{1, 3}, 8, 0, 8, 8},
		{"after its time constant", []float64{1, 3}, 8, paceReadingTimeConstant, 3.9, 4.6},
		{"back at its mean", []float64{1, 3}, 8, time.Second, 2.7, 2.9},
		{"back at its mean from below", []float64{8}, 1, time.Second, 7, 7.2},
		{"before the reset begins", []float64{8}, 8, paceHoldTime, 7.9, 8},
		{"partly reset", []float64{8}, 8, paceHoldTime + paceResetTimeConstant, 3.4, 3.7},
		{"reset", []float64{8}, 8, time.Minute, 1, 1.01},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTestTable()
			table.Merge([]Entry{entry("a", 1)})
			r := table.Ready("s")[0]
			if r.Pace(table.now) != 1 || r.ReportsPace() {
				t.Errorf("pace %v, reported %v before the first reading", r.Pace(table.now), r.ReportsPace())
			}
			reportPaces(table, r, 20*time.Second, tt.readings...)
			reportPaces(table, r, 100*time.Millisecond, tt.last)
			if got := r.Pace(table.now.Add(tt.age)); got < tt.minPace || got > tt.maxPace || !r.ReportsPace() {
				t.Errorf("pace %v, reported %v, want %v to %v", got, r.ReportsPace(), tt.minPace, tt.maxPace)
			}
		})
	}
}

// TestInvalidPaceIsIgnored guards against readings that are not a valid pace, or older than the
// last one.
func TestInvalidPaceIsIgnored(t *testing.T) {
	table := newTestTable()
	table.Merge([]Entry{entry("a", 1)})
	r := table.Ready("s")[0]
	for _, reading := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		table.now = table.now.Add(time.Millisecond)
		r.ReportPace(table.now, reading)
	}
	if r.ReportsPace() {
		t.Error("an invalid reading was recorded")
	}
	r.ReportPace(table.now, 2)
	r.ReportPace(table.now.Add(-time.Second), 9)
	r.ReportPace(table.now, 9)
	if got := r.Pace(table.now); got != 2 {
		t.Errorf("pace %v after older readings, want 2", got)
	}
}

// TestPaceIsForwarded has a router forward a replica's pace to another router, where it must
// not count as newer than it is. A report without a pace must not count as the normal pace.
func TestPaceIsForwarded(t *testing.T) {
	const age = 500 * time.Millisecond
	sender, receiver := newTestTable(), newTestTable()
	for _, table := range []*testTable{sender, receiver} {
		table.SetUsesReports(true)
		table.Merge([]Entry{entry("a", 1), entry("b", 1)})
	}
	paced, other := sender.Ready("s")[0], sender.Ready("s")[1]
	reportPaces(sender, paced, 10*time.Second, 1)
	paced.ReportLoad(sender.now, 3)
	sender.now = sender.now.Add(time.Millisecond)
	paced.ReportLoad(sender.now, 4)
	paced.ReportPace(sender.now, 8)
	other.ReportLoad(sender.now, 5)
	sender.now = sender.now.Add(age)
	want := []Report{
		{Replica: paced.Hash(), Load: 4, Pace: 8, Age: age},
		{Replica: other.Hash(), Load: 5, Age: age},
	}
	reports := sender.Reports(10)
	sorted := cmpopts.SortSlices(func(x, y Report) bool { return x.Load < y.Load })
	if diff := cmp.Diff(want, reports, sorted); diff != "" {
		t.Fatalf("reports (-want +got):\n%s", diff)
	}
	receiver.now = sender.now
	receiver.MergeReports(reports)
	received, unpaced := receiver.Ready("s")[0], receiver.Ready("s")[1]
	if got := received.Pace(receiver.now.Add(-age)); got != 8 || !received.ReportsPace() {
		t.Errorf("pace %v when it was reported, want 8", got)
	}
	if unpaced.ReportsPace() {
		t.Error("a report without a pace was recorded as one")
	}
	other.ReportLoad(sender.now, 6)
	paced.ReportLoad(sender.now, 6) // an answer that reports a load but no pace
	for _, r := range sender.Reports(10) {
		if r.Pace != 0 {
			t.Errorf("report %+v has the pace of an earlier answer", r)
		}
	}
}
