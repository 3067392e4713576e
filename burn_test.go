package peridotusher

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func newTestBurn(limit int) (*Burn, *fakeClock) {
	clock := &fakeClock{now: time.Unix(1_000_000, 0).Truncate(longBucketWidth)}
	return NewBurn(clock, limit), clock
}

// record counts n requests of one class, one minute apart.
func record(b *Burn, clock *fakeClock, n int, value float64, good bool) {
	for range n {
		b.Record(Outcome{Organisation: "shop", Class: "chat", Value: value, Objective: 0.99, Good: good})
		clock.now = clock.now.Add(time.Minute)
	}
}

func TestBurnWindows(t *testing.T) {
	b, clock := newTestBurn(10)
	record(b, clock, 60, 1, true)
	record(b, clock, 5, 1, false)
	row := b.Report().Rows[0]
	want := []BurnCount{
		{Requests: 5, Bad: 5, Value: 5, BadValue: 5},
		{Requests: 30, Bad: 5, Value: 30, BadValue: 5},
		{Requests: 60, Bad: 5, Value: 60, BadValue: 5},
		{Requests: 65, Bad: 5, Value: 65, BadValue: 5},
	}
	if diff := cmp.Diff(want, row.Windows); diff != "" {
		t.Errorf("windows (-want +got):\n%s", diff)
	}
	clock.now = clock.now.Add(7 * time.Hour)
	if diff := cmp.Diff(make([]BurnCount, 4), b.Report().Rows[0].Windows); diff != "" {
		t.Errorf("windows after 7 hours without requests (-want +got):\n%s", diff)
	}
}

// TestBurnWindowsBeforeClockStart reports with a clock near its zero, as after the start
// of a host. The windows then reach back before zero, to negative bucket numbers.
func TestBurnWindowsBeforeClockStart(t *testing.T) {
	clock := &fakeClock{now: time.Unix(0, 0)}
	b := NewBurn(clock, 10)
	record(b, clock, 3, 1, true)
	for _, got := range b.Report().Rows[0].Windows {
		if got.Requests != 3 {
			t.Errorf("a window counts %v requests, want 3", got.Requests)
		}
	}
}

func TestBurnAlarms(t *testing.T) {
	tests := []struct {
		name string
		run  func(*Burn, *fakeClock)
		want []string
	}{
		{"all good", func(b *Burn, c *fakeClock) { record(b, c, 60, 1, true) }, nil},
		{"all bad", func(b *Burn, c *fakeClock) { record(b, c, 60, 1, false) }, []string{"fast", "slow"}},
		{"bad, then good", func(b *Burn, c *fakeClock) {
			record(b, c, 20, 1, false)
			record(b, c, 40, 1, true)
		}, nil},
		{"bad requests of low value", func(b *Burn, c *fakeClock) {
			record(b, c, 30, 1000, true)
			record(b, c, 1, 1, false)
		}, nil},
		{"bad request of high value", func(b *Burn, c *fakeClock) {
			record(b, c, 30, 1, true)
			record(b, c, 1, 1000, false)
		}, []string{"fast", "slow"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, clock := newTestBurn(10)
			tt.run(b, clock)
			if diff := cmp.Diff(tt.want, b.Report().Rows[0].Alarms()); diff != "" {
				t.Errorf("alarms (-want +got):\n%s", diff)
			}
		})
	}
}

func TestBurnIsBounded(t *testing.T) {
	const limit = 5
	b, clock := newTestBurn(limit)
	for i := range 100 {
		b.Record(Outcome{Organisation: fmt.Sprint(i), Class: "chat", Value: 1, Objective: 0.9})
	}
	// One more for the organisations that share a series.
	if got := len(b.Report().Rows); got > limit+1 {
		t.Errorf("%d series, want at most %d", got, limit+1)
	}
	var sum BurnCount
	for _, row := range b.Report().Rows[1:] {
		sum = sum.Add(row.Windows[0])
	}
	if diff := cmp.Diff(BurnCount{Requests: 100, Bad: 100, Value: 100, BadValue: 100}, sum); diff != "" {
		t.Errorf("sum over organisations (-want +got):\n%s", diff)
	}
	clock.now = clock.now.Add(7 * time.Hour)
	b.Record(Outcome{Organisation: "new", Class: "chat", Value: 1, Objective: 0.9})
	found := false
	for _, row := range b.Report().Rows {
		found = found || row.Key.Organisation == "new"
	}
	if !found {
		t.Error("an expired series was not replaced by that of a new organisation")
	}
}

func TestMergeBurn(t *testing.T) {
	b, clock := newTestBurn(10)
	record(b, clock, 3, 2, false)
	one := b.Report()
	merged := MergeBurn([]BurnReport{one, one})
	want := one.Rows[0].Windows[0]
	want = want.Add(want)
	if diff := cmp.Diff(want, merged.Rows[0].Windows[0]); diff != "" {
		t.Errorf("merged window (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(one.Rows[0].Alarms(), merged.Rows[0].Alarms()); diff != "" {
		t.Errorf("merged alarms (-want +got):\n%s", diff)
	}
}
