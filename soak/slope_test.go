package soak

import (
	"fmt"
	"testing"
	"time"

	"peridotusher.example/peridotusher/testbed"
)

const (
	slopeSettle = 3 * time.Second
	slopeTime   = 8 * time.Second
)

// TestFleetSlope measures the resource usage of an idle router in fleets with different
// numbers of routers and engines. docs/CAPACITY.md takes the cost per router and per
// engine from it.
func TestFleetSlope(t *testing.T) {
	if !*long {
		t.Skip("runs with -long")
	}
	for _, size := range []struct{ zones, routers, engines int }{
		{3, 1, 2}, {3, 2, 2}, {3, 4, 2}, {3, 8, 2}, {6, 4, 2}, // routers per zone
		{3, 2, 8}, {3, 2, 16}, {3, 2, 32}, // engines per zone
	} {
		name := fmt.Sprintf("zones=%d,routers=%d,engines=%d", size.zones, size.zones*size.routers, size.zones*size.engines)
		t.Run(name, func(t *testing.T) { measureIdle(t, size.zones, size.routers, size.engines) })
	}
}

// measureIdle logs the mean usage of the routers of an idle fleet.
func measureIdle(t *testing.T, zones, routers, engines int) {
	var names []string
	for n := range zones {
		names = append(names, string(rune('a'+n)))
	}
	bed, stop, err := testbed.Start(t.Context(), testbed.Options{
		Binary:         binary,
		Dir:            t.TempDir(),
		Zones:          names,
		RoutersPerZone: routers,
		EnginesPerZone: engines,
		// The default settings, instead of the shorter intervals of the test bed.
		ExtraSettings: func(string) string { return "" },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	time.Sleep(slopeSettle)
	before := sumUsage(t, bed)
	time.Sleep(slopeTime)
	after := sumUsage(t, bed)
	n := float64(len(bed.Routers))
	rate := func(a, b int64) float64 { return float64(a-b) / n / slopeTime.Seconds() }
	t.Logf("each router: sent %.0f B/s, received %.0f B/s, cpu %.2f%%, resident %.1f MB, heap %.1f MB, goroutines %.0f, descriptors %.0f, store calls %.2f/s",
		rate(after.Sent, before.Sent), rate(after.Received, before.Received),
		100*(after.CPU-before.CPU).Seconds()/n/slopeTime.Seconds(),
		float64(after.Resident)/n/(1<<20), float64(after.Heap)/n/(1<<20),
		float64(after.Goroutines)/n, float64(after.Descriptors)/n, rate(after.StoreCalls, before.StoreCalls))
}

func sumUsage(t *testing.T, bed *testbed.Bed) Usage {
	t.Helper()
	var sum Usage
	for _, r := range bed.Routers {
		u := mustReadUsage(t, r)
		sum.CPU += u.CPU
		sum.Resident += u.Resident
		sum.Heap += u.Heap
		sum.Goroutines += u.Goroutines
		sum.Descriptors += u.Descriptors
		sum.Sent += u.Sent
		sum.Received += u.Received
		sum.StoreCalls += u.StoreCalls
	}
	return sum
}
