package mesh

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotusher.example/peridotusher/replicas"
)

// reportForwardTime is how long reports are forwarded.
const reportForwardTime = 2 * time.Second

// model simulates a fleet's heartbeats without a network: routers send in rounds of the same
// length, each in its own order, and some heartbeats are lost. A heartbeat carries the time
// of the state in it.
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
		for _, o := range m.rnd.Perm(routers) {
			if o != i {
				order = append(order, o)
			}
		}
		m.orders = append(m.orders, order)
	}
	return m
}

// simulateRound simulates a round: tell is called for each heartbeat that arrives.
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

// countAges returns the ages of the counts that routers have of each other, which are not
// forwarded.
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

// updateTime returns the time until an update of one router has reached a part of the others.
func (m *model) updateTime(part float64) time.Duration {
	began, received := m.round, map[int]bool{0: true}
	for float64(len(received)) < part*float64(len(m.orders)) {
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

// reportAges returns the ages of the reports of load that routers have: each heartbeat
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

// reportsToSend returns the replicas whose reports a router sends that has reports of the rounds.
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

func percentile(sorted []time.Duration, part float64) time.Duration {
	return sorted[int(part*float64(len(sorted)-1))]
}

// TestStateAgeByFleetSize simulates fleets of growing size. The age of counts grows in proportion to
// the fleet, which is why loads are taken from reports and holders of parts are queried; the
// time that an update takes must grow with the logarithm.
func TestStateAgeByFleetSize(t *testing.T) {
	const (
		loss            = 0.01
		replicaCount    = 165
		maxReports      = 16
		answersPerRound = 1.7 // of a replica: seven a second
		maxUpdateTime   = 1500 * time.Millisecond
		maxReportAge    = reportForwardTime
	)
	for _, routers := range []int{30, 100, 300, 370, 1000} {
		m := newModel(routers, loss)
		counts := m.countAges(int(2 * coverTime(routers-1) / heartbeatInterval))
		half, mostRouters := m.updateTime(0.5), m.updateTime(0.99)
		reports := m.reportAges(24, replicaCount, maxReports, answersPerRound)
		t.Logf("%4d routers: counts p50 %v p95 %v, news to half %v, to 99 of 100 %v, reports p50 %v p95 %v", routers,
			percentile(counts, 0.5), percentile(counts, 0.95), half, mostRouters, percentile(reports, 0.5), percentile(reports, 0.95))
		if mostRouters > maxUpdateTime {
			t.Errorf("%d routers: an update reaches 99 of 100 after %v, want %v", routers, mostRouters, maxUpdateTime)
		}
		if got := percentile(reports, 0.95); got > maxReportAge {
			t.Errorf("%d routers: reports are %v old at the 95th percentile, want %v", routers, got, maxReportAge)
		}
		if got := percentile(counts, 0.95); got > 2*coverTime(routers-1) {
			t.Errorf("%d routers: counts are %v old at the 95th percentile, beyond twice the time to tell all", routers, got)
		}
	}
}
