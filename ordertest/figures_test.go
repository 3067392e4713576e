package ordertest

import (
	"slices"
	"testing"
	"time"

	"peridotusher.example/peridotusher/testbed"
)

const (
	// leaveTarget limits the time from the mark as leaving to the last request that the
	// engine accepts.
	leaveTarget = 3 * time.Second
	// skewWindow is how long load skew is sampled before the rollout.
	skewWindow = 10 * time.Second
	// skewChats is the number of concurrent chats while load skew is sampled.
	skewChats = 60
)

// TestTimeToNoNewWork marks engines as leaving in the platform's list, one
// after the other, and measures when each accepted its last request.
func TestTimeToNoNewWork(t *testing.T) {
	requireLong(t)
	const leaving, staying = 20, 4
	f := startFleet(t, config{versions: "v1:100"}, testbed.Options{EnginesPerZone: leaving + staying})
	traffic := startTraffic(f, trafficChats)
	marks := make([]time.Time, leaving)
	for i := range leaving {
		marks[i] = time.Now()
		f.MarkLeaving(f.Engines[i].Name)
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(leaveTarget)
	traffic.stop()
	traffic.check()
	var times []time.Duration
	for i, mark := range marks {
		times = append(times, max(f.Engines[i].Stats().LastAccept.Sub(mark), 0))
	}
	slices.Sort(times)
	t.Logf("time to no new work of %d engines: p50=%v p99=%v, list lag of 500ms included", leaving, times[leaving/2], times[leaving-1])
	if worst := times[leaving-1]; worst > leaveTarget {
		t.Errorf("an engine accepted work %v after it was marked as leaving, want at most %v", worst, leaveTarget)
	}
}

// TestRolloutFigures counts the orders of a rollout over three zones and measures the
// load skew during it.
func TestRolloutFigures(t *testing.T) {
	requireLong(t)
	f := startFleet(t, config{versions: "v1:100", policy: "soak = 1s"}, testbed.Options{
		Zones: []string{"a", "b", "c"}, RoutersPerZone: 2, EnginesPerZone: 5,
	})
	traffic := startTraffic(f, skewChats)
	before := f.meanSkewUntil(func(since time.Duration) bool { return since > skewWindow })
	begin := time.Now()
	f.updateConfig(config{versions: "v2:100", policy: "soak = 1s"})
	during := f.meanSkewUntil(func(time.Duration) bool { return f.allLoaded("v2", f.Engines...) })
	took := time.Since(begin)
	traffic.stop()
	traffic.check()
	f.checkFences()
	repeated := 0
	for _, e := range f.Engines {
		repeated += e.Stats().Repeated
	}
	t.Logf("rollout of %d engines: took=%v orders=%d given_twice=%d skew_before=%.2f skew_during=%.2f",
		len(f.Engines), took.Round(time.Millisecond), appliedOrders(f.Engines), repeated, before, during)
	if got, want := appliedOrders(f.Engines), 2*len(f.Engines); got != want {
		t.Errorf("%d orders, want %d: one load and one unload for each engine", got, want)
	}
}

// meanSkewUntil samples the load of the engines until done, and returns the mean
// skew: the largest load of an engine divided by the mean load. Samples with less than
// one unit of work per engine are not counted.
func (f *fleet) meanSkewUntil(done func(since time.Duration) bool) float64 {
	f.t.Helper()
	begin := time.Now()
	sum, n := 0.0, 0
	f.wait("the end of the samples", func() bool {
		total, largest := 0, 0
		for _, e := range f.Engines {
			work := e.Work()
			total += work
			largest = max(largest, work)
		}
		if total >= len(f.Engines) {
			sum += float64(largest) * float64(len(f.Engines)) / float64(total)
			n++
		}
		return done(time.Since(begin))
	})
	return sum / float64(max(n, 1))
}
