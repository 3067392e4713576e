package main

import (
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

func init() { cases["turned"] = playTurnedAway }

// playTurnedAway has the store turn one of five machines away for 9 s, with a 503 for each call, and takes a key
// away meanwhile. The settings name three seeds, which are machines that were lost for good. With SEEDS=live they
// are running machines.
func playTurnedAway(s *stage) (bool, error) {
	const (
		count      = 5
		refusedFor = 9 * time.Second
		// bound is config-ms, and outer-ms since the store turns machines away.
		bound = 7 * time.Second
	)
	runs := &ledger{}
	save := route("r-save", "/save/", "non_idempotent", 1000, 1)
	save["public"] = false
	s.putVersion(7, oneTenant(heldKey, keptKey), save)
	if _, err := s.startReplicas(3, 6, runs, func(*replica, *http.Request) reply {
		return reply{status: http.StatusOK, work: 15 * time.Millisecond, body: "saved"}
	}); err != nil {
		return false, err
	}
	seeds := []string{hostIP(101), hostIP(102), hostIP(103)}
	if os.Getenv("SEEDS") == "live" {
		seeds = []string{hostIP(1), hostIP(2), hostIP(3)}
	}
	refused := &atomic.Bool{}
	door, err := s.storeDoor(refused)
	if err != nil {
		return false, err
	}
	routers, err := s.startFleetAt(count, seeds, map[int]string{count: door})
	if err != nil {
		return false, err
	}
	away := routers[count-1]
	c := newClients(routers...)
	if s.trouble {
		refused.Store(true)
		s.say("the store turns %s away", away.name)
	}
	time.Sleep(100 * time.Millisecond)
	s.putVersion(9, oneTenant(keptKey), save)
	acked := time.Now()
	s.say("version 9, without one of the keys, is acknowledged")
	end := time.AfterFunc(refusedFor, func() { refused.Store(false) })
	defer end.Stop()
	c.pace(60, 12*time.Second, func(i int) {
		key := []string{heldKey, keptKey}[i%2]
		c.sendWithKey(routers[i/2%count], http.MethodPost, fmt.Sprintf("/save/%d", i), "measurements", time.Second, key)
	})
	ran := make(map[string]bool)
	for _, r := range runs.all() {
		ran[r.attempt] = true
	}
	broken, last := 0, time.Duration(0)
	for _, a := range c.all() {
		after := a.sentAt.Sub(acked)
		s.note("attempt %s sent %v after the ack at %s with key %s: status %d ran %v", a.attempt, after, a.router, a.key, a.status, ran[a.attempt])
		if a.key != heldKey || !ran[a.attempt] {
			continue
		}
		last = max(last, after)
		if after > bound {
			broken++
			s.note("CONFIG: attempt %s ran at %s %v after the ack", a.attempt, a.router, after)
		}
	}
	s.say("%d attempts, answers by status %s", len(c.all()), countByStatus(c.all()))
	s.say("the dropped key ran last %v after the ack; runs later than %v: %d", last.Round(time.Millisecond), bound, broken)
	return broken > 0, nil
}
