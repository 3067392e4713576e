package replicas

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
)

const (
	playRouters  = 125
	playReplicas = 4
	playSlots    = 6
	playQueue    = 24  // calls that wait at a replica, which refuses more
	playLimit    = 18  // calls at a replica from which a router sends it none
	playWork     = 50  // ms at the usual pace, on average
	playInTime   = 200 // ms
	playSlow     = 8.0
	playLate     = 500 * time.Millisecond // age of the reports of other routers
	playPaceMs   = 100                    // ms until a pace changes
	playWarm     = 3000                   // ms that are not counted
)

// paceLoad is a load for pacePlay.
type paceLoad struct {
	calls float64 // a ms, over all routers
	slow  func(replica, ms int) bool
	paced bool // whether replicas report their pace
	ms    int
}

// paceCall is a call at a replica.
type paceCall struct {
	left      float64 // ms of work at the usual pace
	arrived   int     // ms
	router    int
	candidate placing.Candidate
	release   func()
}

// playReport is what a replica reported in an answer.
type playReport struct {
	at   time.Time
	load int
	pace float64
}

// pacePlay simulates calls of a plain service before a large fleet whose replicas report
// their pace, and counts what clients receive.
type pacePlay struct {
	paceLoad
	rnd     *rand.Rand
	now     time.Time
	ready   [][]*Replica // by router
	usual   []placing.LatencyTracker
	queues  [playReplicas][]paceCall
	paces   [playReplicas]float64
	reports [playReplicas][]playReport

	all, good int
	sent      [playReplicas][]int // when calls were sent to each replica, ms
	overRun   [playReplicas]int   // ms for which it has been beyond twice the mean and 3
	overMost  int                 // the longest such time
}

func playPace(load paceLoad) *pacePlay {
	p := &pacePlay{paceLoad: load, rnd: rand.New(rand.NewPCG(5, 6)), now: time.Unix(1000, 0), usual: make([]placing.LatencyTracker, playRouters)}
	clock := peridotusher.ClockFunc(func() time.Time { return p.now })
	for range playRouters {
		t := NewTable(clock)
		t.SetUsesReports(true)
		for i := range playReplicas {
			id := string(rune('a' + i))
			t.Offer([]Entry{{ID: id, Service: "s", Address: id, Zone: string(rune('a' + i%3)), Slots: playSlots, Revision: 1}})
		}
		p.ready = append(p.ready, t.Ready("s"))
	}
	for ms := range p.ms {
		p.now = p.now.Add(time.Millisecond)
		p.changePaces(ms)
		p.work(ms)
		for range int(p.calls + p.rnd.Float64()) {
			p.call(ms)
		}
		p.watch(ms)
	}
	return p
}

func (p *pacePlay) changePaces(ms int) {
	if ms%playPaceMs != 0 {
		return
	}
	const spread = 0.4 // of the logarithm
	for i := range p.paces {
		p.paces[i] = math.Exp(spread * p.rnd.NormFloat64())
		if p.slow(i, ms) {
			p.paces[i] *= playSlow
		}
	}
}

// work has the replicas work for a ms.
func (p *pacePlay) work(ms int) {
	for i := range p.queues {
		for k := 0; k < min(len(p.queues[i]), playSlots); {
			c := &p.queues[i][k]
			if c.left -= 1 / p.paces[i]; c.left > 0 {
				k++
				continue
			}
			p.answer(i, *c, ms)
			p.queues[i] = slices.Delete(p.queues[i], k, k+1)
		}
	}
}

func (p *pacePlay) answer(i int, c paceCall, ms int) {
	c.release()
	took := time.Duration(ms-c.arrived) * time.Millisecond
	if c.arrived > playWarm && ms-c.arrived <= playInTime {
		p.good++
	}
	n := playReport{p.now, len(p.queues[i]) - 1, p.paces[i]}
	p.reports[i] = append(p.reports[i], n)
	p.hear(c.router, i, n)
	usual := &p.usual[c.router]
	e := placing.Estimate{Zone: zoneOf(c.router), Latency: usual.Latency("s")}
	usual.Record("s", e.Normalize(c.candidate, took, took))
}

// hear has a router record what a replica reported.
func (p *pacePlay) hear(router, i int, n playReport) {
	r := p.ready[router][i]
	r.ReportLoad(n.at, n.load)
	if p.paced {
		r.ReportPace(n.at, n.pace)
	}
	r.others.byReport.Store(true)
}

func zoneOf(router int) string { return string(rune('a' + router%3)) }

// call has a router choose a replica for a call.
func (p *pacePlay) call(ms int) {
	router := p.rnd.IntN(playRouters)
	var candidates []placing.Candidate
	for i, r := range p.ready[router] {
		p.hearLate(router, i)
		if held := r.SmoothedLoad(); held < playLimit {
			c := placing.Candidate{Hash: r.Hash(), Zone: r.Zone(), Load: held, Slots: playSlots}
			if r.ReportsPace() {
				c.Pace = r.Pace(p.now)
			}
			candidates = append(candidates, c)
		}
	}
	if ms > playWarm {
		p.all++
	}
	choice, ok := placing.Call{Zone: zoneOf(router), Seed: p.rnd.Uint64(), Latency: p.usual[router].Latency("s")}.Choose(candidates)
	if !ok {
		return
	}
	c := candidates[choice.Index]
	i := slices.IndexFunc(p.ready[router], func(r *Replica) bool { return r.Hash() == c.Hash })
	if len(p.queues[i]) >= playSlots+playQueue {
		return
	}
	p.sent[i] = append(p.sent[i], ms)
	p.queues[i] = append(p.queues[i], paceCall{playWork * (0.5 + p.rnd.Float64()), ms, router, c, p.ready[router][i].Acquire()})
}

// hearLate has a router receive the newest report of a replica that is old enough.
func (p *pacePlay) hearLate(router, i int) {
	until := p.now.Add(-playLate)
	n, _ := slices.BinarySearchFunc(p.reports[i], until, func(n playReport, at time.Time) int { return n.at.Compare(at) })
	if n > 0 {
		p.hear(router, i, p.reports[i][n-1])
	}
}

// watch notes which replicas have far more than the mean.
func (p *pacePlay) watch(ms int) {
	if ms <= playWarm {
		return
	}
	sum := 0
	for _, q := range p.queues {
		sum += len(q)
	}
	limit := 2*float64(sum)/playReplicas + 3
	for i, q := range p.queues {
		if float64(len(q)) <= limit {
			p.overRun[i] = 0
			continue
		}
		p.overRun[i]++
		p.overMost = max(p.overMost, p.overRun[i])
	}
}

func (p *pacePlay) inTime() float64 { return float64(p.good) / float64(p.all) }

// share returns the part of the calls from a time on that went to a replica.
func (p *pacePlay) share(replica, from, to int) float64 {
	sum := 0
	count := func(i int) int {
		n := 0
		for _, ms := range p.sent[i] {
			if ms >= from && ms < to {
				n++
			}
		}
		return n
	}
	for i := range p.sent {
		sum += count(i)
	}
	return float64(count(replica)) / float64(max(sum, 1))
}

// slowInTurn has one of the replicas slow at a time.
func slowInTurn(turn int) func(replica, ms int) bool {
	return func(replica, ms int) bool { return replica == ms/turn%playReplicas }
}

func slowFirst(replica, _ int) bool { return replica == 0 }

func slowNone(int, int) bool { return false }

// TestPaceInTime compares what clients of a large fleet receive with and without the pace.
// It guards against slow replicas that get calls which come late, against all routers
// going to a momentarily fast one, and against a pace that is trusted where it changes
// before routers receive a report.
func TestPaceInTime(t *testing.T) {
	tests := []struct {
		name  string
		calls float64 // a ms; four replicas of the usual pace run 0.48
		slow  func(replica, ms int) bool
		least float64 // in time with the pace
		gain  float64 // over the part in time without it
		over  int     // ms for which a replica may be beyond twice the mean and 3
	}{
		{"none slow", 0.125, slowNone, 0.99, -0.005, 300},
		{"none slow, burst", 0.21, slowNone, 0.99, -0.005, 300},
		{"one slow", 0.125, slowFirst, 0.98, 0.05, 300},
		{"one slow, burst", 0.21, slowFirst, 0.97, 0.03, 600},
		{"one slow, little room", 0.3, slowFirst, 0.92, 0.07, 800},
		{"slow in turn for 5 s", 0.125, slowInTurn(5000), 0.93, 0.01, 2500},
		{"slow in turn for 5 s, little room", 0.3, slowInTurn(5000), 0.85, 0.08, 2500},
		{"slow in turn for 2 s", 0.125, slowInTurn(2000), 0.84, -0.04, 2500},
		{"slow in turn for 0.1 s", 0.125, slowInTurn(100), 0.97, -0.02, 300},
		{"slow in turn for 0.1 s, burst", 0.21, slowInTurn(100), 0.94, -0.02, 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			load := paceLoad{calls: tt.calls, slow: tt.slow, ms: 30000}
			without := playPace(load)
			load.paced = true
			with := playPace(load)
			t.Logf("in time: %.3f with the pace, %.3f without; beyond the limit for %d and %d ms; to the first replica %.3f and %.3f",
				with.inTime(), without.inTime(), with.overMost, without.overMost, with.share(0, playWarm, load.ms), without.share(0, playWarm, load.ms))
			if got := with.inTime(); got < tt.least || got < without.inTime()+tt.gain {
				t.Errorf("in time: %.3f with the pace, %.3f without, want at least %.3f and a gain of %.3f", got, without.inTime(), tt.least, tt.gain)
			}
			if with.overMost > tt.over {
				t.Errorf("a replica holds more than twice the mean and 3 for %d ms, want at most %d", with.overMost, tt.over)
			}
		})
	}
}

// TestSlowReplicaRecovers guards against a slow replica that gets no calls after it recovered.
func TestSlowReplicaRecovers(t *testing.T) {
	const recovers, again = 10000, 3000 // ms
	slow := func(replica, ms int) bool { return replica == 0 && ms < recovers }
	p := playPace(paceLoad{calls: 0.125, slow: slow, paced: true, ms: 20000})
	before, after := p.share(0, playWarm, recovers), p.share(0, recovers+again, p.ms)
	t.Logf("share while it is slow: %.3f, from %d ms after: %.3f", before, again, after)
	if before > 0.05 {
		t.Errorf("a replica at an eighth of its pace gets %.3f of the calls", before)
	}
	if after < 0.12 {
		t.Errorf("a replica that has recovered gets %.3f of the calls", after)
	}
}
