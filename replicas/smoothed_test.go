package replicas

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
)

// latePlay simulates calls of a plain service before a large fleet, whose routers receive
// loads up to a second late, while two of three replicas are available.
type latePlay struct {
	rnd    *rand.Rand
	now    time.Time
	tables []*Table
	queues [][]lateCall
	// all calls, and those answered in time.
	all, good int
}

type lateCall struct {
	left    float64 // ms of work
	arrived int     // ms
	router  int
	release func()
}

const (
	lateRouters = 60
	lateSlots   = 6
	lateQueue   = 20  // calls from which a replica refuses
	lateWork    = 30  // ms
	lateMost    = 150 // ms, in time
	lateWarm    = 3000
	latePlayed  = 20000
	lateArrive  = 0.36 // calls a ms
)

func newLatePlay() *latePlay {
	p := &latePlay{rnd: rand.New(rand.NewPCG(5, 5)), now: time.Unix(1000, 0), queues: make([][]lateCall, 2)}
	for range lateRouters {
		t := NewTable(peridotusher.ClockFunc(func() time.Time { return p.now }))
		t.SetUsesReports(true)
		t.Offer([]Entry{
			{ID: "a", Service: "s", Address: "a", Zone: "a", Slots: lateSlots, Revision: 1},
			{ID: "b", Service: "s", Address: "b", Zone: "b", Slots: lateSlots, Revision: 1},
		})
		p.tables = append(p.tables, t)
	}
	return p
}

// work has the replicas work for a ms.
func (p *latePlay) work(ms int) {
	for i := range p.queues {
		for k := 0; k < min(len(p.queues[i]), lateSlots); {
			c := &p.queues[i][k]
			if c.left--; c.left > 0 {
				k++
				continue
			}
			c.release()
			if ms > lateWarm && ms-c.arrived <= lateMost {
				p.good++
			}
			p.tables[c.router].Ready("s")[i].ReportLoad(p.now, len(p.queues[i])-1)
			p.queues[i] = slices.Delete(p.queues[i], k, k+1)
		}
	}
}

// tell has routers receive the newest loads that others have got.
func (p *latePlay) tell() {
	const beat, beats = 250, 8 // ms between rounds, heartbeats heard in one
	for _, t := range p.tables {
		if p.rnd.IntN(beat) > 0 {
			continue
		}
		for range beats {
			for i, other := range p.tables[p.rnd.IntN(lateRouters)].Ready("s") {
				t.Ready("s")[i].ReportLoad(other.report.at, int(other.report.load))
			}
		}
		t.weighReports(p.now)
	}
}

// call has a router choose a replica for a call by what held says of each.
func (p *latePlay) call(ms int, held func(*Replica) int) {
	// What the gate leaves of three times the slots to a call of a lower rank.
	const limit = 10
	router := p.rnd.IntN(lateRouters)
	ready := p.tables[router].Ready("s")
	var candidates []placing.Candidate
	for _, r := range ready {
		if h := held(r); h < limit {
			candidates = append(candidates, placing.Candidate{Hash: r.Hash(), Zone: r.Zone(), Load: h, Slots: lateSlots})
		}
	}
	if ms > lateWarm {
		p.all++
	}
	choice, ok := placing.Call{Zone: string(rune('a' + router%3)), Seed: p.rnd.Uint64()}.Choose(candidates)
	if !ok {
		return
	}
	i := slices.IndexFunc(ready, func(r *Replica) bool { return r.Hash() == candidates[choice.Index].Hash })
	if len(p.queues[i]) < lateQueue {
		p.queues[i] = append(p.queues[i], lateCall{lateWork * (0.5 + p.rnd.Float64()), ms, router, ready[i].Acquire()})
	}
}

// inTime returns the part of the calls that are answered in time.
func inTime(held func(*Replica) int) float64 {
	p := newLatePlay()
	for ms := range latePlayed {
		p.now = p.now.Add(time.Millisecond)
		p.work(ms)
		p.tell()
		if p.rnd.Float64() < lateArrive {
			p.call(ms, held)
		}
	}
	return float64(p.good) / float64(p.all)
}

// TestLateLoads compares choices by loads averaged over a short time with choices by the
// newest loads. Calls end long before their load is received: by the newest loads routers
// refuse calls for a peak that is over.
func TestLateLoads(t *testing.T) {
	newest, averaged := inTime((*Replica).Load), inTime((*Replica).SmoothedLoad)
	t.Logf("in time: %.3f by the newest loads, %.3f by averaged ones", newest, averaged)
	if averaged < newest+0.03 {
		t.Errorf("in time: %.3f by the newest loads, %.3f by averaged ones", newest, averaged)
	}
}

// TestSmoothedLoad has the loads that a replica reports swing, rise and fall.
func TestSmoothedLoad(t *testing.T) {
	b := newBed()
	b.SetUsesReports(true)
	b.Offer([]Entry{entry("a", 1)})
	r := b.Ready("s")[0]
	tell := func(loads ...int) int {
		for range 60 / len(loads) {
			for _, load := range loads {
				b.now = b.now.Add(100 * time.Millisecond)
				r.ReportLoad(b.now, load)
			}
		}
		b.weighReports(b.now)
		return r.SmoothedLoad()
	}
	if got := tell(0, 16); got < 6 || got > 10 {
		t.Errorf("loads that swing between 0 and 16 count %d", got)
	}
	if got := tell(16); got != 16 {
		t.Errorf("a load of 16 for six seconds counts %d", got)
	}
	if got := tell(1); got != 1 {
		t.Errorf("a load of 1 for six seconds counts %d", got)
	}
	defer r.Acquire()()
	if got := r.SmoothedLoad(); got != 2 {
		t.Errorf("with a request of its own it counts %d", got)
	}
}
