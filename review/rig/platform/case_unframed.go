package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["unframed"] = playUnframed }

// playUnframed has one of four replicas that is leaving as planned crash 3 s after the store has accepted its report,
// while it is still at work on streams that it was sent before. The streams have no length and end with
// their channel.
func playUnframed(s *stage) (bool, error) {
	const streams, budget = 40, 15 * time.Second
	path := func(i int) string { return fmt.Sprintf("/report/%d", i) }
	s.putConfiguration(7, route("r-report", "/report/", "streaming", 15000, 1))
	leaving, process, err := s.startReplicaProcess(1, "zone-b")
	if err != nil {
		return false, err
	}
	for i, zone := range []string{"zone-c", "zone-a", "zone-b"} {
		if _, _, err := s.startReplicaProcess(i+2, zone); err != nil {
			return false, err
		}
	}
	seeds := []string{hostIP(1)}
	r, err := s.newRouter(1, seeds, smallBounds)
	if err != nil {
		return false, err
	}
	if err := awaitReady(r); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the machine is in touch, and the store not taken to have just been down
	c := newClients(r)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.pace(streams, time.Second, func(i int) { c.send(r, http.MethodPost, path(i), "catalogue", budget) })
	}()
	time.Sleep(time.Second)
	s.store.put("servers/"+leaving.id, leaving.entry("draining"))
	s.say("replica %s reports draining", leaving.id)
	if s.trouble {
		time.Sleep(3 * time.Second)
		_ = process.Process.Kill() // it runs
		s.say("replica %s crashes", leaving.id)
	}
	<-done
	whole := strings.Join(streamPieces(), "")
	broken := 0
	for _, a := range c.all() {
		pieces := strings.Count(a.body, "\n\n")
		s.note("attempt %s %s status %d, %d of %d pieces, ended as complete: %v", a.attempt, a.operation, a.status, pieces, streamEvents, a.whole)
		if a.status == http.StatusOK && a.whole && a.body != whole {
			broken++
		}
	}
	s.say("%d streams, answers by status %s; ended as complete before their last piece: %d", len(c.all()), countByStatus(c.all()), broken)
	return broken > 0, nil
}
