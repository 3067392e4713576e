package fleettest

import (
	"testing"
	"time"

	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

const (
	outage     = 15 * time.Second
	returnStep = time.Second
	returnTime = 5 * time.Second
	slowTime   = 2 * time.Minute
	slowDelay  = 600 * time.Millisecond
	// The store's reads per second, and the routers that share them.
	storeReads   = 2000
	fleetRouters = 370
)

// TestStoreReturns counts the calls of all routers while the store is down and
// right after it has come back.
func TestStoreReturns(t *testing.T) {
	needLong(t)
	b := startBench(t, func(o *testbed.Options) { o.ExtraRouters = 2 })
	b.Store.SetDown(true)
	before := b.Store.Calls()
	time.Sleep(outage)
	during := total(b.Store.Calls()) - total(before)
	t.Logf("down: %.1f calls per second", float64(during)/outage.Seconds())
	b.Store.SetDown(false)
	highest, first := 0, total(b.Store.Calls())
	last := first
	for began := time.Now(); time.Since(began) < returnTime; {
		time.Sleep(returnStep)
		now := total(b.Store.Calls())
		highest = max(highest, now-last)
		last = now
	}
	t.Logf("back: %d calls in %v, at most %d in %v", last-first, returnTime, highest, returnStep)
	if share := storeReads * len(b.Routers) / fleetRouters; highest > share {
		t.Errorf("%d calls in %v after the store came back, want at most the routers' share of %d", highest, returnStep, share)
	}
	b.inForce(b.add(), inForceLimit, b.Routers...)
}

// TestSlowStore edits while every call of the store takes long.
func TestSlowStore(t *testing.T) {
	needLong(t)
	b := startBench(t, func(o *testbed.Options) { o.ExtraRouters = 2 })
	b.Store.SetDelay(slowDelay)
	count, longest := 0, time.Duration(0)
	for began := time.Now(); time.Since(began) < slowTime; count++ {
		longest = max(longest, b.inForce(b.add(), inForceLimit, b.Routers...))
	}
	t.Logf("%d edits in %v at %v a call: in force everywhere after at most %v", count, slowTime, slowDelay, longest.Round(time.Millisecond))
}

func total(c standin.StoreCalls) int {
	return c.Get + c.List + c.Swap + c.Delete + c.Lease + c.Watch
}
