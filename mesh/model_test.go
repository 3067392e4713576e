package mesh

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotusher.example/peridotusher/replicas"
)

// reportForwardTime is the age up to which reports of load are forwarded.
const reportForwardTime = 2 * time.Second

// model simulates the heartbeats of a fleet without a network: all routers send in the same rounds,
// each in its own order, and some heartbeats are lost.
type model struct {
	rnd    *rand.Rand
	orders [][]int
	round  int
	loss   float64
}

func newModel(routers int, loss float64) *model {
	m := &model{rnd: rand.New(rand.NewPCG(1, uint64(routers))), loss: loss}
	for i := range routers {
		var order []int
		for _, other := range m.rnd.Perm(routers) {
			if other != i {
				order = append(order, other)
			}
		}
		m.orders = append(m.orders, order)
	}
	return m
}

// simulateRound simulates a round and calls deliver for each heartbeat that is not lost.
func (m *model) simulateRound(deliver func(from, to int)) {
	m.round++
	for from, order := range m.orders {
		for _, to := range roundMembers(order, m.round) {
			if m.rnd.Float64() >= m.loss {
				deliver(from, to)
			}
		}
	}
}

// since returns how long ago a round was.
func (m *model) since(round int) time.Duration {
	return time.Duration(m.round-round) * heartbeatInterval
}

// countAges returns the sorted ages of the counts that routers have of each other after some rounds.
// Counts are not forwarded.
func (m *model) countAges(rounds int) []time.Duration {
	n := len(m.orders)
	received := make([]int, n*n)
	for range rounds {
		m.simulateRound(func(from, to int) { received[to*n+from] = m.round })
	}
	var ages []time.Duration
	for i, at := range received {
		if i/n != i%n {
			ages = append(ages, m.since(at))
		}
	}
	slices.Sort(ages)
	return ages
}

// updateTime returns the time until an update of one router has reached a fraction of all routers.
func (m *model) updateTime(fraction float64) time.Duration {
	began, received := m.round, map[int]bool{0: true}
	for float64(len(received)) < fraction*float64(len(m.orders)) {
		m.spreadUpdate(received)
	}
	return m.since(began)
}

// spreadUpdate simulates a round in which the routers that have an update send it.
func (m *model) spreadUpdate(received map[int]bool) {
	var receivers []int
	m.simulateRound(func(from, to int) {
		if received[from] {
			receivers = append(receivers, to)
		}
	})
	for _, to := range receivers {
		received[to] = true
	}
}

// reportAges returns the sorted ages of the reports of load that routers have: each heartbeat
// forwards the newest ones, whichever router received them first.
func (m *model) reportAges(rounds, replicaCount, limit int, answersPerRound float64) []time.Duration {
	n := len(m.orders)
	newest := make([][]int, n) // by router and replica, the round of the report
	for i := range newest {
		newest[i] = slices.Repeat([]int{m.round}, replicaCount)
	}
	for range rounds {
		for range int(answersPerRound * float64(replicaCount)) {
			newest[m.rnd.IntN(n)][m.rnd.IntN(replicaCount)] = m.round
		}
		sent := make([][]int, n)
		for i, known := range newest {
			sent[i] = m.reportsToSend(known, limit)
		}
		m.simulateRound(func(from, to int) {
			for _, r := range sent[from] {
				newest[to][r] = max(newest[to][r], newest[from][r])
			}
		})
	}
	var ages []time.Duration
	for _, known := range newest {
		for _, at := range known {
			ages = append(ages, m.since(at))
		}
	}
	slices.Sort(ages)
	return ages
}

// reportsToSend returns the replicas whose reports a router sends; known holds, by replica, the round
// of its latest report.
func (m *model) reportsToSend(known []int, limit int) []int {
	reports := make([]replicas.Report, 0, len(known))
	for r, at := range known {
		if age := m.since(at); age < reportForwardTime {
			reports = append(reports, replicas.Report{Replica: uint32(r), Age: age})
		}
	}
	var out []int
	for _, report := range replicas.SampleReports(reports, limit) {
		out = append(out, int(report.Replica))
	}
	return out
}

func percentile(sorted []time.Duration, fraction float64) time.Duration {
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// TestStateAgeByFleetSize simulates fleets of increasing size. The age of counts is proportional to
// the size, which is why loads come from reports and holders of parts are queried. The time that an
// update takes must grow with the logarithm of the size.
func TestStateAgeByFleetSize(t *testing.T) {
	const (
		loss            = 0.01
		replicaCount    = 165
		maxReports      = 16
		answersPerRound = 1.7 // by each replica: seven a second
		maxUpdateTime   = 1500 * time.Millisecond
		maxReportAge    = reportForwardTime
	)
	for _, routers := range []int{30, 100, 300, 370, 1000} {
		m := newModel(routers, loss)
		counts := m.countAges(int(2 * coverTime(routers-1) / heartbeatInterval))
		updateP50, updateP99 := m.updateTime(0.5), m.updateTime(0.99)
		reports := m.reportAges(24, replicaCount, maxReports, answersPerRound)
		t.Logf("%4d routers: counts p50 %v p95 %v, update to 50%% %v, to 99%% %v, reports p50 %v p95 %v", routers,
			percentile(counts, 0.5), percentile(counts, 0.95), updateP50, updateP99, percentile(reports, 0.5), percentile(reports, 0.95))
		if updateP99 > maxUpdateTime {
			t.Errorf("%d routers: an update reaches 99%% after %v, want at most %v", routers, updateP99, maxUpdateTime)
		}
		if got := percentile(reports, 0.95); got > maxReportAge {
			t.Errorf("%d routers: reports are %v old at the 95th percentile, want at most %v", routers, got, maxReportAge)
		}
		if got := percentile(counts, 0.95); got > 2*coverTime(routers-1) {
			t.Errorf("%d routers: counts are %v old at the 95th percentile, more than twice the cover time", routers, got)
		}
	}
}
