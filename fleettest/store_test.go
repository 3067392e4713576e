package fleettest

import (
	"testing"
	"time"

	"peridotusher.example/peridotusher/standin"
	"peridotusher.example/peridotusher/testbed"
)

const (
	outage       = 15 * time.Second
	recoveryStep = time.Second
	recoveryTime = 5 * time.Second
	slowTime     = 2 * time.Minute
	slowDelay    = 600 * time.Millisecond
	// The reads per second that the store allows, and the number of routers in the target
	// fleet that share them.
	storeReads   = 2000
	fleetRouters = 370
)

// TestCallRateAfterStoreOutage counts the store calls of all routers while the store is
// down and right after it is available again, when the rate must stay within
// the routers' share of the store's limit.
func TestCallRateAfterStoreOutage(t *testing.T) {
	skipUnlessLong(t)
	b := startFleet(t, func(o *testbed.Options) { o.ExtraRouters = 2 })
	b.Store.SetDown(true)
	before := b.Store.Calls()
	time.Sleep(outage)
	during := totalCalls(b.Store.Calls()) - totalCalls(before)
	t.Logf("down: %.1f calls per second", float64(during)/outage.Seconds())
	b.Store.SetDown(false)
	highest, first := 0, totalCalls(b.Store.Calls())
	last := first
	for began := time.Now(); time.Since(began) < recoveryTime; {
		time.Sleep(recoveryStep)
		now := totalCalls(b.Store.Calls())
		highest = max(highest, now-last)
		last = now
	}
	t.Logf("up again: %d calls in %v, at most %d in %v", last-first, recoveryTime, highest, recoveryStep)
	if share := storeReads * len(b.Routers) / fleetRouters; highest > share {
		t.Errorf("%d calls in %v after the store was up again, want at most the routers' share of %d", highest, recoveryStep, share)
	}
	b.waitInForce(b.addOrganisation(), maxInForceTime, b.Routers...)
}

// TestSlowStore checks the time until edits are in force while every store call is slow.
func TestSlowStore(t *testing.T) {
	skipUnlessLong(t)
	b := startFleet(t, func(o *testbed.Options) { o.ExtraRouters = 2 })
	b.Store.SetDelay(slowDelay)
	count, longest := 0, time.Duration(0)
	for began := time.Now(); time.Since(began) < slowTime; count++ {
		longest = max(longest, b.waitInForce(b.addOrganisation(), maxInForceTime, b.Routers...))
	}
	t.Logf("%d edits in %v at %v a call: in force everywhere after at most %v", count, slowTime, slowDelay, longest.Round(time.Millisecond))
}

func totalCalls(c standin.StoreCalls) int {
	return c.Get + c.List + c.Swap + c.Delete + c.Lease + c.Watch
}
