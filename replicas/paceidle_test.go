package replicas

import (
	"math/rand/v2"
	"testing"
	"time"

	"peridotusher.example/peridotusher/placing"
)

// TestTwoIdleReplicas has one router send calls to two idle replicas, one of which reports that
// work takes eight times as long until it recovers. It guards against the slow replica
// getting half of the calls, and against it getting none after it has recovered.
func TestTwoIdleReplicas(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		calls    = 2000 // in each half
		excluded = 200  // calls after the recovery that are not counted
		usual    = 50 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(2, 8))
	table := newTestTable()
	table.Merge([]Entry{entry("a", 1), entry("b", 1)})
	slow := map[bool]int{}
	for i := range 2 * calls {
		table.now = table.now.Add(interval)
		candidates := make([]placing.Candidate, 2)
		for k, r := range table.Ready("s") {
			candidates[k] = placing.Candidate{
				Hash: r.Hash(), Zone: r.Zone(), Load: r.SmoothedLoad(), Slots: r.Slots(),
			}
			if r.ReportsPace() {
				candidates[k].Pace = r.Pace(table.now)
			}
		}
		choice, _ := placing.Call{
			Zone: "z", Seed: rnd.Uint64(), Latency: placing.Latency{FirstByte: usual, Total: usual},
		}.Choose(candidates)
		recovered := i >= calls
		pace := 1.0
		if choice.Index == 0 && !recovered {
			pace = 8
		}
		r := table.Ready("s")[choice.Index]
		r.ReportLoad(table.now, 0)
		r.ReportPace(table.now, pace)
		if choice.Index == 0 && (!recovered || i >= calls+excluded) {
			slow[recovered]++
		}
	}
	t.Logf("of %d calls while it is slow %d, of %d after its recovery %d",
		calls, slow[false], calls-excluded, slow[true])
	if got := float64(slow[false]) / calls; got > 0.05 {
		t.Errorf("the slow replica gets %.3f of the calls", got)
	}
	if got := float64(slow[true]) / (calls - excluded); got < 0.4 || got > 0.6 {
		t.Errorf("the recovered replica gets %.3f of the calls, want about half", got)
	}
}
