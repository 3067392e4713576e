package main

import (
	"fmt"
	"math"
	"net/http"
	"sort"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["reload"] = playReload }

// The load of the cases of the retry budget.
const (
	readRate     = 150 // requests a second
	readBudget   = time.Second
	readReplicas = 4
	readAttempts = 4
	failShare    = 0.45
	failFor      = 4 * time.Second
)

// budgetWindow is the window of the retry budget.
const budgetWindow = 10 * time.Second

// startReads starts replicas of which each one fails a share of its requests while failing is set.
func (s *stage) startReads(runs *ledger, failing *atomic.Bool) error {
	s.putConfiguration(7, route("r-read", "/read/", "idempotent", 1000, readAttempts))
	_, err := s.startReplicas(readReplicas, 6, runs, func(p *replica, r *http.Request) reply {
		if failing.Load() && hashShare(p.id+r.Header.Get("X-Attempt-Id"), failShare) {
			return reply{status: http.StatusInternalServerError, work: 5 * time.Millisecond, body: "failed"}
		}
		return reply{status: http.StatusOK, work: 5 * time.Millisecond, body: "profile " + r.URL.Path}
	})
	return err
}

// countRepeats returns the window in which the arrivals beyond the first of each request exceed the budget by
// most. The requests are counted in that window, the one before it or the one half a window before it,
// whichever has most.
func countRepeats(answers []answer, runs []run, b bounds) (excess float64, repeats int, allowed float64) {
	seen := make(map[string]bool)
	var repeated, sent []time.Time
	for _, r := range runs {
		if seen[r.attempt] {
			repeated = append(repeated, r.at)
		}
		seen[r.attempt] = true
	}
	for _, a := range answers {
		sent = append(sent, a.sentAt)
	}
	for _, times := range [][]time.Time{repeated, sent} {
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	}
	within := func(times []time.Time, from time.Time) int {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	excess = -math.MaxFloat64
	for _, end := range repeated {
		from := end.Add(time.Nanosecond - budgetWindow)
		requests := max(within(sent, from), within(sent, from.Add(-budgetWindow)), within(sent, from.Add(-budgetWindow/2)))
		n, limit := within(repeated, from), b.ratio*float64(requests)+b.extra
		if float64(n)-limit > excess {
			excess, repeats, allowed = float64(n)-limit, n, limit
		}
	}
	return excess, repeats, allowed
}

// judgeBudget writes the record and reports whether the budget was exceeded.
func (s *stage) judgeBudget(c *clients, runs *ledger, b bounds) bool {
	for _, r := range runs.all() {
		s.note("replica %s attempt %s status %d not-run %v at %v", r.replica, r.attempt, r.status, r.notRun, r.at.Sub(s.began))
	}
	for _, a := range c.all() {
		s.note("client attempt %s sent at %v status %d", a.attempt, a.sentAt.Sub(s.began), a.status)
	}
	excess, repeats, allowed := countRepeats(c.all(), runs.all(), b)
	s.say("%d requests, answers by status %s", len(c.all()), countByStatus(c.all()))
	s.say("arrivals beyond the first of each request in the worst window of 10 s: %d, allowed %.0f", repeats, allowed)
	return excess > 0
}

// startFleet starts routers on the first hosts and waits until they are ready and in touch.
func (s *stage) startFleet(count int, seeds []string) ([]*router, error) {
	return s.startFleetAt(count, seeds, nil)
}

// startFleetAt does the same, with the store at other addresses for some of the routers, by their numbers.
func (s *stage) startFleetAt(count int, seeds []string, doors map[int]string) ([]*router, error) {
	var routers []*router
	for i := range count {
		address := s.store.address
		if door := doors[i+1]; door != "" {
			address = door
		}
		r, err := s.newRouterAt(i+1, address, seeds, smallBounds)
		if err != nil {
			return nil, err
		}
		routers = append(routers, r)
	}
	if err := awaitReady(routers...); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // stable-window-ms
	return routers, nil
}

// playFailing sends requests for 25 s. From 14 s on the replicas fail for failFor.
func (s *stage) playFailing(routers []*router, runs *ledger, failing *atomic.Bool, b bounds) (bool, error) {
	c := newClients(routers...)
	begin := time.AfterFunc(14*time.Second, func() { failing.Store(true) })
	end := time.AfterFunc(14*time.Second+failFor, func() { failing.Store(false) })
	defer begin.Stop()
	defer end.Stop()
	c.pace(readRate, 25*time.Second, func(i int) {
		c.send(routers[i%len(routers)], http.MethodGet, fmt.Sprintf("/read/%d", i), "", readBudget)
	})
	return s.judgeBudget(c, runs, b), nil
}

// playReload lowers the retry budget in the settings of all routers while they run and sends them SIGHUP.
// Nothing else happens until the replicas fail 14 s later.
func playReload(s *stage) (bool, error) {
	const count = 4
	runs, failing := &ledger{}, &atomic.Bool{}
	if err := s.startReads(runs, failing); err != nil {
		return false, err
	}
	seeds := []string{hostIP(1), hostIP(2), hostIP(3)}
	routers, err := s.startFleet(count, seeds)
	if err != nil {
		return false, err
	}
	inForce := smallBounds
	if s.trouble {
		inForce = bounds{ratio: 0.05, extra: 8}
		for _, r := range routers {
			if err := r.write(seeds, inForce); err != nil {
				return false, err
			}
			if err := r.signal(syscall.SIGHUP); err != nil {
				return false, err
			}
		}
		s.say("the settings changed to ratio %v and extra %v, and each router got SIGHUP", inForce.ratio, inForce.extra)
	}
	return s.playFailing(routers, runs, failing, inForce)
}
