package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = playRefused }

// hashShare reports whether a text belongs to a share of all texts.
func hashShare(text string, share float64) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, text) // a hash never returns an error
	return float64(h.Sum32()%1000) < share*1000
}

// playRefused has the replicas fail 40 % of their requests for 4 s, after they have run them, with a 503 that
// does not bear X-Not-Executed. Clients save once per operation and repeat after a promise only.
func playRefused(s *stage) (bool, error) {
	const rate, length, budget = 60, 10 * time.Second, time.Second
	runs, failing := &ledger{}, &atomic.Bool{}
	s.putConfiguration(7, route("r-save", "/save/", "non_idempotent", 1000, 1))
	if _, err := s.startReplicas(3, 6, runs, func(_ *replica, r *http.Request) reply {
		if failing.Load() && hashShare(r.Header.Get("X-Attempt-Id"), 0.4) {
			return reply{status: http.StatusServiceUnavailable, work: 15 * time.Millisecond, body: "failed after the write"}
		}
		return reply{status: http.StatusOK, work: 15 * time.Millisecond, body: "saved " + r.URL.Path}
	}); err != nil {
		return false, err
	}
	seeds := []string{hostIP(1), hostIP(2)}
	first, err := s.newRouter(1, seeds, smallBounds)
	if err != nil {
		return false, err
	}
	second, err := s.newRouter(2, seeds, smallBounds)
	if err != nil {
		return false, err
	}
	if err := awaitReady(first, second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // stable-window-ms
	c := newClients(first, second)
	routers := []*router{first, second}
	if s.trouble {
		begin := time.AfterFunc(3*time.Second, func() { failing.Store(true) })
		end := time.AfterFunc(3*time.Second+failFor, func() { failing.Store(false) })
		defer begin.Stop()
		defer end.Stop()
	}
	c.pace(rate, length, func(i int) {
		path := fmt.Sprintf("/save/%d", i)
		a := c.send(routers[i%2], http.MethodPost, path, "measurements", budget)
		if a.status == http.StatusServiceUnavailable && a.retryAfter < budget/3 {
			time.Sleep(a.retryAfter)
			c.send(routers[(i+1)%2], http.MethodPost, path, "measurements", budget-time.Since(a.sentAt))
		}
	})
	ran := make(map[string]run)
	byOperation := make(map[string]int)
	for _, r := range runs.all() {
		s.note("replica %s attempt %s %s status %d not-run %v", r.replica, r.attempt, r.operation, r.status, r.notRun)
		if !r.notRun {
			ran[r.attempt] = r
			byOperation[r.operation]++
		}
	}
	broken, twice := 0, 0
	for _, a := range c.all() {
		r, hasRun := ran[a.attempt]
		s.note("client attempt %s %s status %d ran %v", a.attempt, a.operation, a.status, hasRun)
		if hasRun && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			broken++
			s.note("REFUSED: attempt %s ran at %s and was answered %d", a.attempt, r.replica, a.status)
		}
	}
	for _, n := range byOperation {
		if n > 1 {
			twice++
		}
	}
	s.say("%d attempts, answers by status %s", len(c.all()), countByStatus(c.all()))
	s.say("attempts that ran and were answered 429 or 503: %d; operations that ran twice since the client believed the answer: %d", broken, twice)
	return broken > 0, nil
}
