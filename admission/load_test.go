package admission

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// checkInvariants checks what must hold under every load.
func (s *sim) checkInvariants() {
	s.t.Helper()
	for what, n := range map[string]int{
		"grants after the deadline or after Cancel":     s.late,
		"replicas with more grants than their capacity": s.overCapacity,
		"idle slots while a request waited":             s.idle,
		"retries granted before one refused earlier":    s.outOfOrder,
	} {
		if n > 0 {
			s.t.Errorf("%s: %d, want none", what, n)
		}
	}
}

func wantAtLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	t.Logf("%s: %.3f", what, got)
	if got < want {
		t.Errorf("%s: %.3f, want at least %.3f", what, got, want)
	}
}

func TestBurst(t *testing.T) {
	burst := func(at time.Duration) float64 {
		if at >= 4*time.Second && at < 7*time.Second {
			return 1.7 * simCapacity
		}
		return 0.7 * simCapacity
	}
	g := &group{org: "a", rate: burst, honourShare: 1}
	s := newSim(t, g)
	s.run(15 * time.Second)
	s.checkInvariants()
	before, during := s.tally(0, 4*time.Second, g), s.tally(4*time.Second, 7*time.Second, g)
	wantAtLeast(t, "served before the burst", before.servedShare(), 0.99)
	// The excess load is 2.1 s of the capacity. In the 4 s of the longest retry-after time
	// the usual load leaves 1.2 s of the capacity free, and all refused clients whose
	// retry-after time lies within are served.
	wantAtLeast(t, "served of the burst", during.servedShare(), 1/1.7)
	wantAtLeast(t, "served after the retry-after time", during.retriedServedShare(), 0.8)
}

func TestLargeOrganisation(t *testing.T) {
	const share = 1.0 / 24
	large := &group{org: "large", rate: constant(7.5 * share), honourShare: 0.5, retries: 3, disconnectShare: 0.1}
	groups := []*group{large}
	for i := range 23 {
		groups = append(groups, &group{org: fmt.Sprint("small-", i), rate: constant(0.9 * share), honourShare: 1})
	}
	s := newSim(t, groups...)
	s.run(20 * time.Second)
	s.checkInvariants()
	all := s.tally(0, time.Hour, groups...)
	for _, g := range groups[1:] {
		wantAtLeast(t, "served of "+g.org, s.tally(0, time.Hour, g).servedShare(), 0.9)
	}
	wantAtLeast(t, "served of the large organisation", s.tally(0, time.Hour, large).servedShare(), all.servedShare()/4)
}

func TestMaxMinFairness(t *testing.T) {
	var groups []*group
	for i, load := range []float64{0.1, 0.2, 0.6, 0.9} {
		groups = append(groups, &group{org: fmt.Sprint(i), rate: constant(load), disconnectShare: 0.1})
	}
	s := newSim(t, groups...)
	s.run(20 * time.Second)
	s.checkInvariants()
	// The two large organisations share the capacity that the small ones leave: 0.35 each.
	for i, want := range []float64{1, 1, 0.35 / 0.6, 0.35 / 0.9} {
		wantAtLeast(t, "served of organisation "+groups[i].org, s.tally(0, time.Hour, groups[i]).servedShare(), 0.9*want)
	}
}

func TestSharesAdapt(t *testing.T) {
	large := &group{org: "large", rate: constant(2), honourShare: 0.5}
	small := &group{org: "small", rate: func(at time.Duration) float64 {
		if at < 5*time.Second {
			return 0
		}
		return 0.4 * simCapacity
	}, honourShare: 0.5}
	s := newSim(t, large, small)
	s.run(10 * time.Second)
	s.checkInvariants()
	wantAtLeast(t, "served in the first second", s.tally(5*time.Second, 6*time.Second, small).servedShare(), 0.9)
}

// TestMixedOverload checks the shares of organisations and priorities under the load of the design
// page: overload with one large organisation, two priorities, clients that retry at once or
// disconnect, and slow replicas.
func TestMixedOverload(t *testing.T) {
	var groups []*group
	var byPriority [2][]*group
	for i := range 24 {
		load := 2.2 / 64
		if i == 0 {
			load *= 9
		}
		for priority := range 2 {
			g := &group{
				org: fmt.Sprint(i), priority: priority, rate: constant(load), honourShare: 0.7, retries: 3, disconnectShare: 0.05,
			}
			groups = append(groups, g)
			byPriority[priority] = append(byPriority[priority], g)
		}
	}
	for _, pace := range []float64{1, 5} {
		t.Run(fmt.Sprint("pace ", pace), func(t *testing.T) { runMixedOverload(t, pace, groups, byPriority) })
	}
}

func runMixedOverload(t *testing.T, pace float64, groups []*group, byPriority [2][]*group) {
	for _, g := range groups {
		g.clients = nil
	}
	s := newSim(t, groups...)
	s.replicas[0].place.Pace, s.replicas[1].place.Pace = pace, pace
	s.run(20 * time.Second)
	s.checkInvariants()
	// Counts only clients whose retry-after time, 4 s at most, ends before the load does.
	share := func(groups ...*group) float64 { return s.tally(0, 16*time.Second, groups...).servedShare() }
	mean := share(groups...)
	wantAtLeast(t, "served of the urgent requests, less the others", share(byPriority[0]...)-share(byPriority[1]...), 0)
	wantAtLeast(t, "served of the less urgent requests", share(byPriority[1]...), mean/4)
	for i := range 24 {
		wantAtLeast(t, fmt.Sprint("served of organisation ", i), share(groups[2*i:2*i+2]...), mean/4)
	}
}

// TestTwoQueuesForSameReplicas checks that two queues for the same replicas, as in a partitioned
// fleet, do not overload them. Each queue gets half of the requests.
func TestTwoQueuesForSameReplicas(t *testing.T) {
	g := &group{org: "a", rate: constant(1.6), honourShare: 1}
	s := newSim(t, g)
	s.queues = append(s.queues, NewQueue(s.clock))
	s.run(10 * time.Second)
	const maxQueued = 24 // a replica refuses more
	for _, r := range s.replicas {
		t.Logf("replica %d had up to %d requests", r.place.Hash, r.peak)
		if r.peak > simSlots+maxQueued {
			t.Errorf("replica %d had %d requests, want at most %d", r.place.Hash, r.peak, simSlots+maxQueued)
		}
	}
	wantAtLeast(t, "served", s.tally(0, time.Hour, g).servedShare(), 0.9/1.6)
}

func TestImmediateRetries(t *testing.T) {
	for _, load := range []float64{1.1, 1.3, 1.5} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			honouring := &group{org: "a", rate: constant(0.7 * load), honourShare: 1}
			immediate := &group{org: "a", rate: constant(0.3 * load), retries: 3}
			s := newSim(t, honouring, immediate)
			s.run(20 * time.Second)
			s.checkInvariants()
			p, h := s.tally(0, time.Hour, honouring), s.tally(0, time.Hour, immediate)
			t.Logf("honour the retry-after time %+v, retry at once %+v", p, h)
			wantAtLeast(t, "served of those that honour the retry-after time, less those that retry at once",
				p.servedShare()-h.servedShare(), 0)
		})
	}
}

func TestSlowReplica(t *testing.T) {
	g := &group{org: "a", rate: constant(0.7), honourShare: 1}
	s := newSim(t, g)
	s.after(5*time.Second, func() { s.replicas[0].place.Pace = 8 })
	s.after(15*time.Second, func() { s.replicas[0].place.Pace = 1 })
	s.run(20 * time.Second)
	s.checkInvariants()
	// The three replicas at usual pace have 0.75 of the capacity.
	wantAtLeast(t, "served while one replica is slow", s.tally(5*time.Second, 15*time.Second, g).servedShare(), 0.9)
	wantAtLeast(t, "served within a second of the change", s.tally(5*time.Second, 6*time.Second, g).servedShare(), 0.75)
	wantAtLeast(t, "served after that", s.tally(16*time.Second, time.Hour, g).servedShare(), 0.99)
}

func TestPriorities(t *testing.T) {
	for _, loads := range [][]float64{{1, 1}, {1.75, 0.25}, {0.9, 1.1}, {0.5, 1.5}, {0.7, 0.7, 0.6}, {1.8, 0.1, 0.1}} {
		for _, honour := range []float64{0, 1} {
			t.Run(fmt.Sprint(loads, honour), func(t *testing.T) {
				var groups []*group
				for i, load := range loads {
					groups = append(groups, &group{org: "a", priority: i, rate: constant(load), honourShare: honour})
				}
				s := newSim(t, groups...)
				s.run(20 * time.Second)
				s.checkInvariants()
				all := s.tally(0, time.Hour, groups...).servedShare()
				previous := 1.0
				for i, g := range groups {
					got := s.tally(0, time.Hour, g).servedShare()
					wantAtLeast(t, fmt.Sprint("served of priority ", i), got, all/4)
					wantAtLeast(t, "served of the priority before, less this one", previous-got, 0)
					previous = got
				}
			})
		}
	}
}

// TestPrioritiesWithDifferentTargets checks that less urgent requests do not get the slots of urgent
// ones because their latency target is ten times as long and they can wait longer.
func TestPrioritiesWithDifferentTargets(t *testing.T) {
	for _, tt := range []struct{ urgent, other, honour float64 }{{1, 1, 0}, {1, 1, 1}, {1.75, 0.25, 0.5}} {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			urgent := &group{
				org: "a", rate: constant(tt.urgent), latencyTarget: 300 * time.Millisecond, honourShare: tt.honour, retries: 2,
			}
			other := &group{
				org: "a", rate: constant(tt.other), latencyTarget: 3 * time.Second, priority: 1, honourShare: tt.honour, retries: 2,
			}
			s := newSim(t, urgent, other)
			s.run(20 * time.Second)
			s.checkInvariants()
			// Counts only clients whose retry-after time, 4 s at most, ends before the load does.
			share := func(groups ...*group) float64 { return s.tally(0, 16*time.Second, groups...).servedShare() }
			wantAtLeast(t, "served of the urgent requests, less the others", share(urgent)-share(other), 0)
			wantAtLeast(t, "served of the others", share(other), share(urgent, other)/4)
		})
	}
}

func TestCapacityLost(t *testing.T) {
	g := &group{org: "a", rate: constant(0.8), honourShare: 1}
	s := newSim(t, g)
	s.after(5*time.Second, func() { s.removeReplica(s.replicas[0]); s.removeReplica(s.replicas[1]) })
	s.after(9*time.Second, func() { s.restoreReplica(s.replicas[0]); s.restoreReplica(s.replicas[1]) })
	s.run(25 * time.Second)
	s.checkInvariants()
	lost := s.tally(5*time.Second, 9*time.Second, g)
	// The remaining half of the capacity serves 0.5 of a load of 0.8.
	wantAtLeast(t, "served while half is lost", lost.servedShare(), 0.5/0.8)
	wantAtLeast(t, "not refused after a long wait", 1-float64(lost.refusedLate)/float64(lost.clients), 0.95)
	wantAtLeast(t, "served when the capacity is restored", s.tally(20*time.Second, time.Hour, g).servedShare(), 0.99)
}

func TestOnTimeRetriesServed(t *testing.T) {
	tests := []struct {
		load, honour   float64
		duration       time.Duration
		mayRefuseTwice bool
		want           float64
	}{
		{1.15, 1, 20 * time.Second, false, 1},
		{1.3, 1, 10 * time.Second, false, 1},
		{1.3, 0.5, 30 * time.Second, false, 1},
		// Of a load of 1.5 times the capacity for longer than 10 s, at most 2/3 can be
		// served if all clients retry; the longest retry-after time of 4 s postpones no
		// more.
		{1.5, 1, 10 * time.Second, true, 0.8},
		{1.5, 0.5, 30 * time.Second, true, 0.8},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.load, tt.honour), func(t *testing.T) {
			g := &group{org: "a", rate: constant(tt.load), honourShare: tt.honour}
			s := newSim(t, g)
			s.run(tt.duration)
			s.checkInvariants()
			got := s.tally(0, time.Hour, g)
			t.Logf("%+v", got)
			wantAtLeast(t, "served at the first retry", got.retriedServedShare(), min(tt.want, 0.99))
			if got.refusedTwice > 0 && !tt.mayRefuseTwice {
				t.Errorf("refused twice: %d of %d, want none", got.refusedTwice, got.retried)
			}
		})
	}
}

func TestRestart(t *testing.T) {
	g := &group{org: "a", rate: constant(1.5), honourShare: 1}
	s := newSim(t, g)
	s.after(5*time.Second, s.restart)
	s.run(10 * time.Second)
	if s.late > 0 {
		t.Errorf("grants after the deadline: %d", s.late)
	}
	for _, r := range s.replicas {
		// The reported loads do not include the requests in transit.
		if r.peak > simSlots+simSlots/4+r.inTransit {
			t.Errorf("replica %d had %d requests, want at most its slots and a quarter more", r.place.Hash, r.peak)
		}
	}
	wantAtLeast(t, "served within a second of the restart", s.tally(5*time.Second, 6*time.Second, g).servedShare(), 0.5)
}

// restart replaces the queue by a new one. Routers send waiting requests again.
func (s *sim) restart() {
	s.queues = []*Queue{NewQueue(s.clock)}
	for _, r := range s.replicas {
		r.peak = 0
		r.inTransit = r.held - len(r.running) - len(r.queued)
	}
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		if a := s.attempts[id]; a.state == Waiting && !a.canceled {
			delete(s.attempts, id)
			s.submit(a)
		}
	}
	s.sendReplicas()
}
