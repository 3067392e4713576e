package admission

import "time"

// groupKey is the organisation and priority within which retries are granted in order.
type groupKey struct {
	org      string
	priority int
}

func (g *group) key() groupKey { return groupKey{g.org, g.priority} }

// send delivers a request to its replica. It fails at once if the replica is removed.
func (s *sim) send(a *attempt) {
	r := a.replica
	a.sentAt = s.clock.now
	if r.removed {
		s.finish(a, true)
		return
	}
	r.queued = append(r.queued, a)
	r.peak = max(r.peak, len(r.queued)+len(r.running))
	s.serve(r)
}

// serve starts requests in free slots: 60 to 140 ms at usual pace.
func (s *sim) serve(r *simReplica) {
	for len(r.running) < r.place.Slots && len(r.queued) > 0 {
		a := r.queued[0]
		r.queued = r.queued[1:]
		r.running = append(r.running, a)
		took := time.Duration((0.6 + 0.8*s.rnd.Float64()) * r.place.Pace * float64(simServiceTime))
		s.after(took, func() { s.served(r, a) })
	}
}

func (s *sim) served(r *simReplica, a *attempt) {
	for i, other := range r.running {
		if other == a {
			r.running = append(r.running[:i], r.running[i+1:]...)
			s.finish(a, false)
			break
		}
	}
	s.serve(r)
}

// finish sends the answer to the router, which then releases the grant.
func (s *sim) finish(a *attempt, failed bool) {
	r := a.replica
	u := Usage{Replica: r.place.Hash, Failed: failed}
	if !failed {
		u.Running, u.Waiting, u.Slots, u.Pace = len(r.running), len(r.queued), r.place.Slots, r.place.Pace
	}
	s.after(s.networkDelay(), func() {
		u.Took = s.clock.now.Sub(a.sentAt)
		if !failed && !s.clock.now.After(a.answerBy) {
			a.client.served = true
		}
		s.after(s.networkDelay(), func() {
			r.held--
			s.queue(a.id).Release("r", 0, a.id, u)
			delete(s.attempts, a.id)
			s.collectDecisions()
		})
	})
}

// removeReplica removes a replica, whose requests fail; restoreReplica restores it.
func (s *sim) removeReplica(r *simReplica) {
	r.removed = true
	for _, a := range append(r.running, r.queued...) {
		s.finish(a, true)
	}
	r.running, r.queued = nil, nil
}

func (s *sim) restoreReplica(r *simReplica) { r.removed = false }

// retryAfterRefusal schedules the retry of a refused client, if its group retries.
func (s *sim) retryAfterRefusal(a *attempt) {
	delete(s.attempts, a.id)
	c := a.client
	switch {
	case c.honoursRetryAfter() && len(c.attempts) == 1:
		s.after(a.retryAfter, func() { s.startAttempt(c) })
	case !c.honoursRetryAfter() && len(c.attempts) <= c.group.retries:
		s.startAttempt(c)
	}
}

// checkState checks what must hold when the decisions have been fetched: no replica has more
// grants than its slots and a quarter more, and no slot is idle while a request waits.
func (s *sim) checkState() {
	waiting := 0
	for _, a := range s.attempts {
		if a.state == Waiting && !a.canceled && a.answerBy.Sub(s.clock.now) > 2*simServiceTime {
			waiting++
		}
	}
	for _, r := range s.replicas {
		if r.held > r.place.Slots+r.place.Slots/4 {
			s.overCapacity++
		}
		if waiting > 0 && !r.removed && r.place.Pace == 1 && r.held < r.place.Slots {
			s.idle++
		}
	}
}

// tally counts the outcomes of clients.
type tally struct {
	clients, served        int // without clients that disconnected
	retried, retriedServed int // clients that retried after the retry-after time; served then
	refusedTwice           int
	refusedLate            int // attempts refused after waiting more than half of the latency target
}

func (t tally) servedShare() float64 { return float64(t.served) / float64(max(t.clients, 1)) }
func (t tally) retriedServedShare() float64 {
	return float64(t.retriedServed) / float64(max(t.retried, 1))
}

// tally counts the clients of the groups that arrived within the times.
func (s *sim) tally(from, to time.Duration, groups ...*group) tally {
	var t tally
	for _, g := range groups {
		for _, c := range g.clients {
			at := s.firstArrival(c)
			if at < from || at >= to {
				continue
			}
			t.count(c)
		}
	}
	return t
}

// firstArrival returns when the client arrived first; -1 if it has not.
func (s *sim) firstArrival(c *client) time.Duration {
	if len(c.attempts) == 0 {
		return -1
	}
	return c.attempts[0].at.Sub(s.start)
}

func (t *tally) count(c *client) {
	if c.attempts[len(c.attempts)-1].canceled {
		return
	}
	t.clients++
	if c.served {
		t.served++
	}
	for _, a := range c.attempts {
		if a.state == Refused && a.refusedAt.Sub(a.at) > c.group.target()/2 {
			t.refusedLate++
		}
	}
	if !c.honoursRetryAfter() || len(c.attempts) != 2 {
		return
	}
	t.retried++
	if c.served {
		t.retriedServed++
	}
	if c.attempts[1].state == Refused {
		t.refusedTwice++
	}
}
