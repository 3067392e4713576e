package slowstart

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

// fixture is a limiter with its own clock and a replica that is cold for coldFor.
type fixture struct {
	Limiter
	now     time.Time
	replica *replicas.Replica

	bound         float64
	rank, routers int
	known         bool
}

const coldFor = 20 * time.Second

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0), bound: 30.5, routers: 89, known: true}
	f.Bound = func(string) float64 { return f.bound }
	f.Share = func(uint64) (int, int, bool) { return f.rank, f.routers, f.known }
	table := replicas.NewTable(peridotusher.ClockFunc(func() time.Time { return f.now }))
	table.Merge([]replicas.Entry{{ID: "a", Service: "s", Revision: 1, ColdRemaining: coldFor, ReportsCold: true}})
	f.replica = table.Ready("s")[0]
	return f
}

func (f *fixture) acquire() (func(time.Time), bool) { return f.Acquire(f.replica, f.now) }

// TestShares divides bounds among fleets of different sizes. All routers together must have half
// of the bound, and at least one share.
func TestShares(t *testing.T) {
	for bound, want := range map[float64]int{0.5: 1, 3.9: 1, 16.25: 8, 30.5: 15, math.Inf(1): maxShares} {
		if got := shareCount(bound); got != want {
			t.Errorf("shares(%v) = %d, want %d", bound, got, want)
		}
		for _, routers := range []int{1, 2, 7, 14, 15, 16, 89} {
			sum := 0
			for rank := range routers {
				sum += ownShares(rank, routers, want)
			}
			if sum != want {
				t.Errorf("%d routers have %d shares, want %d", routers, sum, want)
			}
		}
	}
}

// TestDelayUntilShareIsFree checks the time until a router may send to a cold replica.
func TestDelayUntilShareIsFree(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(f *fixture)
		want  time.Duration
	}{
		{"first in the order", func(*fixture) {}, 0},
		{"after those that have a share", func(f *fixture) { f.rank = 15 }, coldFor},
		{"number of routers unknown", func(f *fixture) { f.known = false }, learnTime},
		{"number of routers unknown, soon warm", func(f *fixture) {
			f.known, f.now = false, f.now.Add(coldFor-learnTime/2)
		}, learnTime / 2},
		{"sent a second ago", func(f *fixture) {
			f.lastSends = map[string]*lastSend{"a": {at: f.now.Add(-time.Second)}}
		}, shareInterval - time.Second},
		{"sent an interval ago", func(f *fixture) {
			f.lastSends = map[string]*lastSend{"a": {at: f.now.Add(-shareInterval)}}
		}, 0},
		{"several shares, as one of few routers", func(f *fixture) {
			f.routers, f.lastSends = 4, map[string]*lastSend{"a": {at: f.now.Add(-shareInterval / 8)}}
		}, shareInterval / 8},
		{"still writing", func(f *fixture) {
			f.lastSends = map[string]*lastSend{"a": {at: f.now.Add(-time.Minute), writing: true}}
		}, shareInterval},
		{"the clock stood still", func(f *fixture) { f.DelayAll(f.now.Add(-time.Second)) }, shareInterval - time.Second},
		{"soon warm", func(f *fixture) {
			f.now = f.now.Add(coldFor - time.Second/2)
			f.lastSends = map[string]*lastSend{"a": {at: f.now}}
		}, time.Second / 2},
		{"warm", func(f *fixture) { f.rank, f.now = 15, f.now.Add(coldFor) }, 0},
		{"never cold", func(f *fixture) { f.rank, f.bound = 15, 0 }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			tt.setUp(f)
			if diff := cmp.Diff(tt.want, f.Delay(f.replica, f.now)); diff != "" {
				t.Errorf("time until a share is free (-want +got):\n%s", diff)
			}
			if free := tt.want == 0; f.Allowed(f.replica, f.now) != free {
				t.Errorf("allowed = %v, want %v", !free, free)
			}
			if _, ok := f.acquire(); ok != (tt.want == 0) {
				t.Errorf("taken = %v, but the share is free in %v", ok, tt.want)
			}
		})
	}
}

// TestShareIsHeldUntilSent has a request written long after its share was taken. The interval to
// the next one must count from the write.
func TestShareIsHeldUntilSent(t *testing.T) {
	f := newFixture()
	sent, ok := f.acquire()
	if !ok {
		t.Fatal("the first share was not free")
	}
	f.now = f.now.Add(3 * time.Second)
	if _, ok := f.acquire(); ok {
		t.Error("a second request was allowed while the first one was not written yet")
	}
	sent(f.now)
	f.now = f.now.Add(shareInterval - time.Millisecond)
	if _, ok := f.acquire(); ok {
		t.Error("a second request was allowed within shareInterval of the first one")
	}
	f.now = f.now.Add(time.Millisecond)
	if _, ok := f.acquire(); !ok {
		t.Error("the share is not free after shareInterval")
	}
}

// TestNilLimiterAllowsAll uses a nil limiter, which stands for a fleet without cold replicas.
func TestNilLimiterAllowsAll(t *testing.T) {
	var l *Limiter
	f := newFixture()
	if !l.Allowed(f.replica, f.now) || l.Delay(f.replica, f.now) != 0 || l.Cold(f.replica, f.now) {
		t.Error("a nil limiter limits requests")
	}
}
