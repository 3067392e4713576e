package replicas

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
)

// delayedLoadSim simulates a large fleet of routers that send calls to the replicas of a plain
// service and receive their loads up to a second late, while two of three replicas are
// available.
type delayedLoadSim struct {
	rnd    *rand.Rand
	now    time.Time
	tables []*Table
	queues [][]delayedLoadCall
	// all counts the calls, inTime those that were answered in time.
	all, inTime int
}

type delayedLoadCall struct {
	remaining float64 // ms of work
	arrived   int     // ms
	router    int
	release   func()
}

const (
	loadSimRouters     = 60
	loadSimSlots       = 6
	loadSimMaxQueued   = 20    // calls at a replica from which on it refuses more
	loadSimWork        = 30    // ms
	loadSimTimeLimit   = 150   // ms in which clients expect an answer
	loadSimWarmup      = 3000  // ms at the start that are not counted
	loadSimDuration    = 20000 // ms
	loadSimArrivalRate = 0.36  // calls per ms
)

func newDelayedLoadSim() *delayedLoadSim {
	p := &delayedLoadSim{
		rnd: rand.New(rand.NewPCG(5, 5)), now: time.Unix(1000, 0), queues: make([][]delayedLoadCall, 2),
	}
	for range loadSimRouters {
		t := NewTable(peridotusher.ClockFunc(func() time.Time { return p.now }))
		t.SetUsesReports(true)
		t.Merge([]Entry{
			{ID: "a", Service: "s", Address: "a", Zone: "a", Slots: loadSimSlots, Revision: 1},
			{ID: "b", Service: "s", Address: "b", Zone: "b", Slots: loadSimSlots, Revision: 1},
		})
		p.tables = append(p.tables, t)
	}
	return p
}

// work has the replicas work for one ms.
func (p *delayedLoadSim) work(ms int) {
	for i := range p.queues {
		for k := 0; k < min(len(p.queues[i]), loadSimSlots); {
			c := &p.queues[i][k]
			if c.remaining--; c.remaining > 0 {
				k++
				continue
			}
			c.release()
			if ms > loadSimWarmup && ms-c.arrived <= loadSimTimeLimit {
				p.inTime++
			}
			p.tables[c.router].Ready("s")[i].ReportLoad(p.now, len(p.queues[i])-1)
			p.queues[i] = slices.Delete(p.queues[i], k, k+1)
		}
	}
}

// exchangeReports has some routers merge the latest loads that other routers know.
func (p *delayedLoadSim) exchangeReports() {
	const interval, peers = 250, 8 // mean ms between exchanges, heartbeats received in each
	for _, t := range p.tables {
		if p.rnd.IntN(interval) > 0 {
			continue
		}
		for range peers {
			for i, other := range p.tables[p.rnd.IntN(loadSimRouters)].Ready("s") {
				t.Ready("s")[i].ReportLoad(other.report.at, int(other.report.load))
			}
		}
		t.selectLoadSource(p.now)
	}
}

// call has a router choose a replica for a call by the load that held returns for each.
func (p *delayedLoadSim) call(ms int, held func(*Replica) int) {
	// The load of a replica from which on admission refuses calls of lower priority; calls
	// of the highest priority are admitted up to three times the slots.
	const limit = 10
	router := p.rnd.IntN(loadSimRouters)
	ready := p.tables[router].Ready("s")
	var candidates []placing.Candidate
	for _, r := range ready {
		if h := held(r); h < limit {
			candidates = append(candidates, placing.Candidate{
				Hash: r.Hash(), Zone: r.Zone(), Load: h, Slots: loadSimSlots,
			})
		}
	}
	if ms > loadSimWarmup {
		p.all++
	}
	choice, ok := placing.Call{Zone: string(rune('a' + router%3)), Seed: p.rnd.Uint64()}.Choose(candidates)
	if !ok {
		return
	}
	i := slices.IndexFunc(ready, func(r *Replica) bool { return r.Hash() == candidates[choice.Index].Hash })
	if len(p.queues[i]) < loadSimMaxQueued {
		p.queues[i] = append(p.queues[i], delayedLoadCall{
			loadSimWork * (0.5 + p.rnd.Float64()), ms, router, ready[i].Acquire(),
		})
	}
}

// inTimeShare returns the share of the calls that are answered in time.
func inTimeShare(held func(*Replica) int) float64 {
	p := newDelayedLoadSim()
	for ms := range loadSimDuration {
		p.now = p.now.Add(time.Millisecond)
		p.work(ms)
		p.exchangeReports()
		if p.rnd.Float64() < loadSimArrivalRate {
			p.call(ms, held)
		}
	}
	return float64(p.inTime) / float64(p.all)
}

// TestChoiceByDelayedLoads compares choices by loads averaged over a short time with choices by
// the latest loads. Calls end long before other routers receive the load that counts them,
// so routers that use the latest loads refuse calls because of peaks that are over.
func TestChoiceByDelayedLoads(t *testing.T) {
	latest, averaged := inTimeShare((*Replica).Load), inTimeShare((*Replica).SmoothedLoad)
	t.Logf("in time: %.3f by the latest loads, %.3f by averaged ones", latest, averaged)
	if averaged < latest+0.03 {
		t.Errorf("in time: %.3f by the latest loads, %.3f by averaged ones", latest, averaged)
	}
}

// TestSmoothedLoad has a replica report loads that oscillate, rise and fall.
func TestSmoothedLoad(t *testing.T) {
	table := newTestTable()
	table.SetUsesReports(true)
	table.Merge([]Entry{entry("a", 1)})
	r := table.Ready("s")[0]
	report := func(loads ...int) int {
		for range 60 / len(loads) {
			for _, load := range loads {
				table.now = table.now.Add(100 * time.Millisecond)
				r.ReportLoad(table.now, load)
			}
		}
		table.selectLoadSource(table.now)
		return r.SmoothedLoad()
	}
	if got := report(0, 16); got < 6 || got > 10 {
		t.Errorf("the smoothed load is %d for loads that oscillate between 0 and 16", got)
	}
	if got := report(16); got != 16 {
		t.Errorf("the smoothed load is %d after six seconds of load 16", got)
	}
	if got := report(1); got != 1 {
		t.Errorf("the smoothed load is %d after six seconds of load 1", got)
	}
	defer r.Acquire()()
	if got := r.SmoothedLoad(); got != 2 {
		t.Errorf("the smoothed load is %d with a request of this router", got)
	}
}
