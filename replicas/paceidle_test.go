package replicas

import (
	"math/rand/v2"
	"testing"
	"time"

	"peridotusher.example/peridotusher/placing"
)

// TestTwoIdleReplicas has one router call two idle replicas, of which one reports eight times
// the usual pace until it recovers. It guards against the slow one getting half of the
// calls, and against one that gets none after it has recovered.
func TestTwoIdleReplicas(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		calls    = 2000 // in each half
		again    = 200  // calls until the recovered replica is used again
		usual    = 50 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(2, 8))
	b := newBed()
	b.Offer([]Entry{entry("a", 1), entry("b", 1)})
	slow := map[bool]int{}
	for i := range 2 * calls {
		b.now = b.now.Add(interval)
		candidates := make([]placing.Candidate, 2)
		for k, r := range b.Ready("s") {
			candidates[k] = placing.Candidate{Hash: r.Hash(), Zone: r.Zone(), Load: r.SmoothedLoad(), Slots: r.Slots()}
			if r.ReportsPace() {
				candidates[k].Pace = r.Pace(b.now)
			}
		}
		choice, _ := placing.Call{Zone: "z", Seed: rnd.Uint64(), Latency: placing.Latency{FirstByte: usual, Total: usual}}.Choose(candidates)
		recovered := i >= calls
		pace := 1.0
		if choice.Index == 0 && !recovered {
			pace = 8
		}
		r := b.Ready("s")[choice.Index]
		r.ReportLoad(b.now, 0)
		r.ReportPace(b.now, pace)
		if choice.Index == 0 && (!recovered || i >= calls+again) {
			slow[recovered]++
		}
	}
	t.Logf("of %d calls while it is slow %d, of %d after that %d", calls, slow[false], calls-again, slow[true])
	if got := float64(slow[false]) / calls; got > 0.05 {
		t.Errorf("the slow replica gets %.3f of the calls", got)
	}
	if got := float64(slow[true]) / (calls - again); got < 0.4 || got > 0.6 {
		t.Errorf("the recovered replica gets %.3f of the calls, want about half", got)
	}
}
