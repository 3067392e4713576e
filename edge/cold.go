package edge

import (
	"sync/atomic"
	"time"

	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// coldService returns a service of the configuration in force if its replicas can be cold.
func (r *Router) coldService(name string) (*routing.Service, bool) {
	doc := r.current.Load()
	if doc == nil {
		return nil, false
	}
	s, ok := doc.Services[name]
	return s, ok && s.Cold()
}

// coldFor returns how long a replica of a service is cold after its start; 0 if never.
func (r *Router) coldFor(service string) time.Duration {
	if s, ok := r.coldService(service); ok {
		return s.ColdFor
	}
	return 0
}

// coldBound returns how many requests a cold replica of a service may receive in any
// second; 0 if its replicas are never cold.
func (r *Router) coldBound(service string) float64 {
	s, ok := r.coldService(service)
	if !ok {
		return 0
	}
	bounds := r.bounds.Load()
	return max(s.ColdRate*bounds.overshoot+bounds.slack, 1) // one share is the least there is
}

// coldWatch knows which replicas were cold at the last look.
type coldWatch struct {
	known map[string]bool // by id

	// cold is the number of replicas that are cold, shares that of those to which this
	// router may send.
	cold, shares atomic.Int64
}

// watchCold logs which replicas have become cold or warm since the last look.
func (r *Router) watchCold() {
	now := r.clock.Now()
	cold := make(map[string]bool)
	shares := 0
	var became, warmed []*replicas.Replica
	r.table.ForEach(func(replica *replicas.Replica) {
		id := replica.ID()
		if !r.slowStart.Cold(replica, now) {
			if r.cold.known[id] {
				warmed = append(warmed, replica)
			}
			return
		}
		cold[id] = true
		if r.slowStart.HasShare(replica) {
			shares++
		}
		if !r.cold.known[id] {
			became = append(became, replica)
		}
	})
	r.cold.known = cold
	r.cold.cold.Store(int64(len(cold)))
	r.cold.shares.Store(int64(shares))
	r.logCold("cold", now, became)
	r.logCold("warm", now, warmed)
}

// logCold logs and counts replicas that have become cold or warm.
func (r *Router) logCold(kind string, now time.Time, changed []*replicas.Replica) {
	r.set.GetOrCreateCounter("peridotusher_replicas_" + kind + "_total").Add(len(changed))
	if len(changed) > changesLogged {
		r.Log.Event(kind, "replicas", len(changed))
		return
	}
	for _, replica := range changed {
		r.Log.Event(kind, "replica", replica.ID(), "service", replica.Service(),
			"for", replica.ColdRemaining(now), "share", r.slowStart.HasShare(replica))
	}
}
