package edge

import (
	"sync/atomic"
	"time"

	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// coldService returns a service of the current configuration if its replicas can be cold.
func (r *Router) coldService(name string) (*routing.Service, bool) {
	doc := r.current.Load()
	if doc == nil {
		return nil, false
	}
	s, ok := doc.Services[name]
	return s, ok && s.Cold()
}

// coldDuration returns how long a replica of a service is cold after its start; 0 if never.
func (r *Router) coldDuration(service string) time.Duration {
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
	return max(s.ColdRate*bounds.coldOvershoot+bounds.coldSlack, 1) // the minimum is one share
}

// coldTracker tracks which replicas are cold.
type coldTracker struct {
	previous map[string]bool // replicas that were cold at the last check, by id

	// count is the number of cold replicas, withShare the number of those to which this router may
	// send requests.
	count, withShare atomic.Int64
}

// trackColdReplicas logs which replicas became cold or warm since the last check.
func (r *Router) trackColdReplicas() {
	now := r.clock.Now()
	cold := make(map[string]bool)
	withShare := 0
	var becameCold, becameWarm []*replicas.Replica
	r.table.ForEach(func(replica *replicas.Replica) {
		id := replica.ID()
		if !r.slowStart.Cold(replica, now) {
			if r.coldReplicas.previous[id] {
				becameWarm = append(becameWarm, replica)
			}
			return
		}
		cold[id] = true
		if r.slowStart.HasShare(replica) {
			withShare++
		}
		if !r.coldReplicas.previous[id] {
			becameCold = append(becameCold, replica)
		}
	})
	r.coldReplicas.previous = cold
	r.coldReplicas.count.Store(int64(len(cold)))
	r.coldReplicas.withShare.Store(int64(withShare))
	r.logColdChanges("cold", now, becameCold)
	r.logColdChanges("warm", now, becameWarm)
}

// logColdChanges logs and counts replicas that became cold or warm.
func (r *Router) logColdChanges(kind string, now time.Time, changed []*replicas.Replica) {
	r.metricSet.GetOrCreateCounter("peridotusher_replicas_" + kind + "_total").Add(len(changed))
	if len(changed) > maxChangesLogged {
		r.Log.Event(kind, "replicas", len(changed))
		return
	}
	for _, replica := range changed {
		r.Log.Event(kind, "replica", replica.ID(), "service", replica.Service(),
			"for", replica.ColdRemaining(now), "share", r.slowStart.HasShare(replica))
	}
}
