package ordertest

import (
	"slices"
	"testing"
	"time"

	"peridotusher.example/peridotusher/testbed"
)

const (
	// leaveTarget is the longest time to no new work at a leaving engine.
	leaveTarget = 3 * time.Second
	// skewWindow is the time over which skew is sampled without a rollout.
	skewWindow = 10 * time.Second
	// skewChats is the number of chats while skew is sampled.
	skewChats = 60
)

// TestTimeToNoNewWork marks engines as leaving in the platform's list, one
// after the other, and measures when each accepted its last request.
func TestTimeToNoNewWork(t *testing.T) {
	needLong(t)
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

// TestRolloutFigures measures the orders of a rollout over three zones and the
// skew of load while it goes on.
func TestRolloutFigures(t *testing.T) {
	needLong(t)
	f := startFleet(t, config{versions: "v1:100", policy: "soak = 1s"}, testbed.Options{
		Zones: []string{"a", "b", "c"}, RoutersPerZone: 2, EnginesPerZone: 5,
	})
	traffic := startTraffic(f, skewChats)
	before := f.skewUntil(func(since time.Duration) bool { return since > skewWindow })
	begin := time.Now()
	f.write(config{versions: "v2:100", policy: "soak = 1s"})
	during := f.skewUntil(func(time.Duration) bool { return f.allHold("v2", f.Engines...) })
	took := time.Since(begin)
	traffic.stop()
	traffic.check()
	f.checkFences()
	twice := 0
	for _, e := range f.Engines {
		twice += e.Stats().Repeated
	}
	t.Logf("rollout of %d engines: took=%v orders=%d given_twice=%d skew_before=%.2f skew_during=%.2f",
		len(f.Engines), took.Round(time.Millisecond), orders(f.Engines), twice, before, during)
	if got, want := orders(f.Engines), 2*len(f.Engines); got != want {
		t.Errorf("%d orders, want %d: one load and one unload for each engine", got, want)
	}
}

// skewUntil samples the load of the engines until done, and returns the mean
// over the samples of the largest load divided by the mean load.
func (f *fleet) skewUntil(done func(since time.Duration) bool) float64 {
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
