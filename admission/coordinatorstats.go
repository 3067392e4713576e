package admission

// CoordinatorStats are a coordinator's counts since its start and its present requests.
type CoordinatorStats struct {
	// Held is the number of slots granted now, Waiting the number of requests waiting now.
	Held, Waiting int
	// Grants, Refusals and Waits count replies; a request that waited is counted in
	// Waits, and again for its final reply.
	Grants, Refusals, Waits uint64
	// Expired counts grants and waiting requests whose leases have ended.
	Expired uint64
}

func (s *CoordinatorStats) count(state State) {
	switch state {
	case Granted:
		s.Grants++
	case Refused:
		s.Refusals++
	case Waiting:
		s.Waits++
	}
}

// Stats returns the coordinator's counts.
func (c *Coordinator) Stats() CoordinatorStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.stats
	for _, s := range c.services {
		out.Waiting += s.requests.waiting
		out.Held += len(s.requests.open) - s.requests.waiting
	}
	return out
}
