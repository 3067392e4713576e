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
	paceSimRouters      = 125
	paceSimReplicas     = 4
	paceSimSlots        = 6
	paceSimMaxQueued    = 24                     // calls waiting at a replica, which refuses more
	paceSimMaxHeld      = 18                     // calls at a replica from which on routers send it no more
	paceSimWork         = 50                     // ms at the normal pace, on average
	paceSimTimeLimit    = 200                    // ms in which clients expect an answer
	paceSimSlowFactor   = 8.0                    // pace of a slow replica relative to the others
	paceSimReportDelay  = 500 * time.Millisecond // age of the reports of other routers
	paceSimPaceInterval = 100                    // ms until a pace changes
	paceSimWarmup       = 3000                   // ms at the start that are not counted
)

// paceLoad is the load of a paceSim and the behaviour of its replicas.
type paceLoad struct {
	calls float64                    // per ms, over all routers
	slow  func(replica, ms int) bool // whether a replica is slow at a time
	paced bool                       // whether replicas report their pace
	ms    int                        // duration
}

// paceCall is a call at a replica.
type paceCall struct {
	remaining float64 // ms of work at the normal pace
	arrived   int     // ms
	router    int
	candidate placing.Candidate
	release   func()
}

// simReport is what a replica reported in an answer.
type simReport struct {
	at   time.Time
	load int
	pace float64
}

// paceSim simulates a large fleet of routers that send calls to the replicas of a plain
// service, which report their pace, and counts the answers that clients receive in time.
type paceSim struct {
	paceLoad
	rnd     *rand.Rand
	now     time.Time
	ready   [][]*Replica // by router
	usual   []placing.LatencyTracker
	queues  [paceSimReplicas][]paceCall
	paces   [paceSimReplicas]float64
	reports [paceSimReplicas][]simReport

	all, inTime  int
	sent         [paceSimReplicas][]int // when calls were sent to each replica, ms
	overLimit    [paceSimReplicas]int   // ms for which it has had more calls than twice the mean plus 3
	maxOverLimit int                    // the longest such time
}

// runPaceSim runs the simulation of a load.
func runPaceSim(load paceLoad) *paceSim {
	p := &paceSim{
		paceLoad: load, rnd: rand.New(rand.NewPCG(5, 6)), now: time.Unix(1000, 0),
		usual: make([]placing.LatencyTracker, paceSimRouters),
	}
	clock := peridotusher.ClockFunc(func() time.Time { return p.now })
	for range paceSimRouters {
		t := NewTable(clock)
		t.SetUsesReports(true)
		for i := range paceSimReplicas {
			id := string(rune('a' + i))
			t.Merge([]Entry{{
				ID: id, Service: "s", Address: id, Zone: string(rune('a' + i%3)), Slots: paceSimSlots, Revision: 1,
			}})
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
		p.trackOverLimit(ms)
	}
	return p
}

// changePaces sets new random paces every paceSimPaceInterval.
func (p *paceSim) changePaces(ms int) {
	if ms%paceSimPaceInterval != 0 {
		return
	}
	const spread = 0.4 // standard deviation of the pace's logarithm
	for i := range p.paces {
		p.paces[i] = math.Exp(spread * p.rnd.NormFloat64())
		if p.slow(i, ms) {
			p.paces[i] *= paceSimSlowFactor
		}
	}
}

// work has the replicas work for one ms.
func (p *paceSim) work(ms int) {
	for i := range p.queues {
		for k := 0; k < min(len(p.queues[i]), paceSimSlots); {
			c := &p.queues[i][k]
			if c.remaining -= 1 / p.paces[i]; c.remaining > 0 {
				k++
				continue
			}
			p.answer(i, *c, ms)
			p.queues[i] = slices.Delete(p.queues[i], k, k+1)
		}
	}
}

// answer completes a call: the client's router learns the replica's report.
func (p *paceSim) answer(i int, c paceCall, ms int) {
	c.release()
	took := time.Duration(ms-c.arrived) * time.Millisecond
	if c.arrived > paceSimWarmup && ms-c.arrived <= paceSimTimeLimit {
		p.inTime++
	}
	report := simReport{p.now, len(p.queues[i]) - 1, p.paces[i]}
	p.reports[i] = append(p.reports[i], report)
	p.record(c.router, i, report)
	usual := &p.usual[c.router]
	e := placing.Estimate{Zone: zoneOf(c.router), Latency: usual.Latency("s")}
	usual.Record("s", e.Normalize(c.candidate, took, took))
}

// record has a router record what a replica reported.
func (p *paceSim) record(router, i int, report simReport) {
	r := p.ready[router][i]
	r.ReportLoad(report.at, report.load)
	if p.paced {
		r.ReportPace(report.at, report.pace)
	}
	r.remote.useReported.Store(true)
}

func zoneOf(router int) string { return string(rune('a' + router%3)) }

// call has a router choose a replica for a call.
func (p *paceSim) call(ms int) {
	router := p.rnd.IntN(paceSimRouters)
	var candidates []placing.Candidate
	for i, r := range p.ready[router] {
		p.recordDelayed(router, i)
		if held := r.SmoothedLoad(); held < paceSimMaxHeld {
			c := placing.Candidate{Hash: r.Hash(), Zone: r.Zone(), Load: held, Slots: paceSimSlots}
			if r.ReportsPace() {
				c.Pace = r.Pace(p.now)
			}
			candidates = append(candidates, c)
		}
	}
	if ms > paceSimWarmup {
		p.all++
	}
	choice, ok := placing.Call{
		Zone: zoneOf(router), Seed: p.rnd.Uint64(), Latency: p.usual[router].Latency("s"),
	}.Choose(candidates)
	if !ok {
		return
	}
	c := candidates[choice.Index]
	i := slices.IndexFunc(p.ready[router], func(r *Replica) bool { return r.Hash() == c.Hash })
	if len(p.queues[i]) >= paceSimSlots+paceSimMaxQueued {
		return
	}
	p.sent[i] = append(p.sent[i], ms)
	p.queues[i] = append(p.queues[i], paceCall{
		paceSimWork * (0.5 + p.rnd.Float64()), ms, router, c, p.ready[router][i].Acquire(),
	})
}

// recordDelayed has a router record the latest report of a replica that is at least
// paceSimReportDelay old.
func (p *paceSim) recordDelayed(router, i int) {
	until := p.now.Add(-paceSimReportDelay)
	n, _ := slices.BinarySearchFunc(p.reports[i], until,
		func(report simReport, at time.Time) int { return report.at.Compare(at) })
	if n > 0 {
		p.record(router, i, p.reports[i][n-1])
	}
}

// trackOverLimit counts for how long each replica has had far more calls than the mean.
func (p *paceSim) trackOverLimit(ms int) {
	if ms <= paceSimWarmup {
		return
	}
	sum := 0
	for _, q := range p.queues {
		sum += len(q)
	}
	limit := 2*float64(sum)/paceSimReplicas + 3
	for i, q := range p.queues {
		if float64(len(q)) <= limit {
			p.overLimit[i] = 0
			continue
		}
		p.overLimit[i]++
		p.maxOverLimit = max(p.maxOverLimit, p.overLimit[i])
	}
}

func (p *paceSim) inTimeShare() float64 { return float64(p.inTime) / float64(p.all) }

// share returns the share of the calls in a range of time that were sent to a replica.
func (p *paceSim) share(replica, from, to int) float64 {
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

// slowInRotation returns a function for which one replica at a time is slow, each for turn ms.
func slowInRotation(turn int) func(replica, ms int) bool {
	return func(replica, ms int) bool { return replica == ms/turn%paceSimReplicas }
}

func slowFirst(replica, _ int) bool { return replica == 0 }

func slowNone(int, int) bool { return false }

// TestInTimeShareWithPace compares the share of calls that a large fleet answers in time with and
// without the pace. It guards against slow replicas that get calls which they answer too
// late, against all routers choosing a replica that is fast for a moment, and against
// relying on a pace that changes before routers receive a report of it.
func TestInTimeShareWithPace(t *testing.T) {
	tests := []struct {
		name      string
		calls     float64 // per ms; four replicas at the normal pace complete 0.48
		slow      func(replica, ms int) bool
		minInTime float64 // share of calls in time with the pace
		minGain   float64 // over the share in time without it
		maxOver   int     // ms for which a replica may have more calls than twice the mean plus 3
	}{
		{"none slow", 0.125, slowNone, 0.99, -0.005, 300},
		{"none slow, burst", 0.21, slowNone, 0.99, -0.005, 300},
		{"one slow", 0.125, slowFirst, 0.98, 0.05, 300},
		{"one slow, burst", 0.21, slowFirst, 0.97, 0.03, 600},
		{"one slow, little free capacity", 0.3, slowFirst, 0.92, 0.07, 800},
		{"slow in turn for 5 s", 0.125, slowInRotation(5000), 0.93, 0.01, 2500},
		{"slow in turn for 5 s, little free capacity", 0.3, slowInRotation(5000), 0.85, 0.08, 2500},
		{"slow in turn for 2 s", 0.125, slowInRotation(2000), 0.84, -0.04, 2500},
		{"slow in turn for 0.1 s", 0.125, slowInRotation(100), 0.97, -0.02, 300},
		{"slow in turn for 0.1 s, burst", 0.21, slowInRotation(100), 0.94, -0.02, 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			load := paceLoad{calls: tt.calls, slow: tt.slow, ms: 30000}
			without := runPaceSim(load)
			load.paced = true
			with := runPaceSim(load)
			t.Logf("in time: %.3f with the pace, %.3f without; over the limit: %d and %d ms; replica 0: %.3f and %.3f",
				with.inTimeShare(), without.inTimeShare(), with.maxOverLimit, without.maxOverLimit,
				with.share(0, paceSimWarmup, load.ms), without.share(0, paceSimWarmup, load.ms))
			if got := with.inTimeShare(); got < tt.minInTime || got < without.inTimeShare()+tt.minGain {
				t.Errorf("in time: %.3f with the pace, %.3f without, want at least %.3f and a gain of %.3f",
					got, without.inTimeShare(), tt.minInTime, tt.minGain)
			}
			if with.maxOverLimit > tt.maxOver {
				t.Errorf("a replica has more calls than twice the mean plus 3 for %d ms, want at most %d",
					with.maxOverLimit, tt.maxOver)
			}
		})
	}
}

// TestSlowReplicaRecovers guards against a slow replica that still gets no calls after its recovery.
func TestSlowReplicaRecovers(t *testing.T) {
	const recovers, settling = 10000, 3000 // ms
	slow := func(replica, ms int) bool { return replica == 0 && ms < recovers }
	p := runPaceSim(paceLoad{calls: 0.125, slow: slow, paced: true, ms: 20000})
	before, after := p.share(0, paceSimWarmup, recovers), p.share(0, recovers+settling, p.ms)
	t.Logf("share while it is slow: %.3f, from %d ms after its recovery: %.3f", before, settling, after)
	if before > 0.05 {
		t.Errorf("a replica that is eight times slower gets %.3f of the calls", before)
	}
	if after < 0.12 {
		t.Errorf("a replica that has recovered gets %.3f of the calls", after)
	}
}
