package slowstart

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

// bed is a limiter with a clock of its own and a replica that is cold for coldFor.
type bed struct {
	Limiter
	now     time.Time
	replica *replicas.Replica

	bound         float64
	rank, routers int
	known         bool
}

const coldFor = 20 * time.Second

func newBed() *bed {
	b := &bed{now: time.Unix(1000, 0), bound: 30.5, routers: 89, known: true}
	b.Bound = func(string) float64 { return b.bound }
	b.Share = func(uint64) (int, int, bool) { return b.rank, b.routers, b.known }
	table := replicas.NewTable(peridotusher.ClockFunc(func() time.Time { return b.now }))
	table.Offer([]replicas.Entry{{ID: "a", Service: "s", Revision: 1, Cold: coldFor, ReportsCold: true}})
	b.replica = table.Ready("s")[0]
	return b
}

func (b *bed) take() (func(time.Time), bool) { return b.Take(b.replica, b.now) }

// TestShares deals out the shares of a bound in fleets of different sizes: all together
// have as many as half of the bound, and at least one.
func TestShares(t *testing.T) {
	for bound, want := range map[float64]int{0.5: 1, 3.9: 1, 16.25: 8, 30.5: 15, math.Inf(1): mostShares} {
		if got := shares(bound); got != want {
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

// TestWhenSharesAreFree asks when a router may send to a cold replica.
func TestWhenSharesAreFree(t *testing.T) {
	tests := []struct {
		name string
		set  func(b *bed)
		want time.Duration // until it may
	}{
		{"first in the order", func(*bed) {}, 0},
		{"behind those that have a share", func(b *bed) { b.rank = 15 }, coldFor},
		{"not yet learned", func(b *bed) { b.known = false }, learnTime},
		{"not yet learned, soon warm", func(b *bed) { b.known, b.now = false, b.now.Add(coldFor-learnTime/2) }, learnTime / 2},
		{"has sent", func(b *bed) { b.sends = map[string]*lastSend{"a": {at: b.now.Add(-time.Second)}} }, spacing - time.Second},
		{"has sent long ago", func(b *bed) { b.sends = map[string]*lastSend{"a": {at: b.now.Add(-spacing)}} }, 0},
		{"one of few", func(b *bed) {
			b.routers, b.sends = 4, map[string]*lastSend{"a": {at: b.now.Add(-spacing / 8)}}
		}, spacing / 8},
		{"sends", func(b *bed) { b.sends = map[string]*lastSend{"a": {at: b.now.Add(-time.Minute), writing: true}} }, spacing},
		{"the clock stood still", func(b *bed) { b.Hold(b.now.Add(-time.Second)) }, spacing - time.Second},
		{"soon warm", func(b *bed) {
			b.now = b.now.Add(coldFor - time.Second/2)
			b.sends = map[string]*lastSend{"a": {at: b.now}}
		}, time.Second / 2},
		{"warm", func(b *bed) { b.rank, b.now = 15, b.now.Add(coldFor) }, 0},
		{"never cold", func(b *bed) { b.rank, b.bound = 15, 0 }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed()
			tt.set(b)
			if diff := cmp.Diff(tt.want, b.Next(b.replica, b.now)); diff != "" {
				t.Errorf("until the share is free (-want +got):\n%s", diff)
			}
			if free := tt.want == 0; b.Allowed(b.replica, b.now) != free {
				t.Errorf("allowed = %v, want %v", !free, free)
			}
			if _, ok := b.take(); ok != (tt.want == 0) {
				t.Errorf("taken = %v with the share free in %v", ok, tt.want)
			}
		})
	}
}

// TestShareIsHeldUntilSent has a request be written long after its share was taken: the
// interval to the next one counts from the write, not from the take.
func TestShareIsHeldUntilSent(t *testing.T) {
	b := newBed()
	sent, ok := b.take()
	if !ok {
		t.Fatal("the first share was not free")
	}
	b.now = b.now.Add(3 * time.Second)
	if _, ok := b.take(); ok {
		t.Error("a second request was sent while one is still being written")
	}
	sent(b.now)
	b.now = b.now.Add(spacing - time.Millisecond)
	if _, ok := b.take(); ok {
		t.Error("a second request was sent within a second of the first")
	}
	b.now = b.now.Add(time.Millisecond)
	if _, ok := b.take(); !ok {
		t.Error("the share is not free again")
	}
}

// TestNilLimitsNothing has no limiter, as where no replica is ever cold.
func TestNilLimitsNothing(t *testing.T) {
	var l *Limiter
	b := newBed()
	if !l.Allowed(b.replica, b.now) || l.Next(b.replica, b.now) != 0 || l.Cold(b.replica, b.now) {
		t.Error("a nil limiter limits")
	}
}
