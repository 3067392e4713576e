package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// paceTau is the time constant with which a reported pace approaches the replica's mean:
	// pace changes many times a second.
	paceTau = 300 * time.Millisecond
	// minPace is the lowest pace, of the fastest replicas, that is accepted.
	minPace = 0.05
	// minOtherLoadTau and maxOtherLoadTau bound the time constant with which the load from others decays.
	minOtherLoadTau = 50 * time.Millisecond
	maxOtherLoadTau = 500 * time.Millisecond
	// meanPaceWeight is the weight of the latest pace in the mean of the replica.
	meanPaceWeight = 1.0 / 16
	// maxPace is the highest pace, of the slowest replicas, that is accepted.
	maxPace = 100
	// otherZoneCost is the cost of a replica in another zone, as a share of its slots that
	// are counted as occupied.
	otherZoneCost = 1.0 / 3
	// peakInterval is the width of the intervals for which the peak of held grants is kept.
	peakInterval = 100 * time.Millisecond
	// peakIntervals is the number of these intervals: loads exchanged by routers are up to
	// half a second old.
	peakIntervals = 5
	// answerLoadAge is the maximum age of the load in an answer, in intervals.
	answerLoadAge = 2
	// shedCooldown is how long a replica that shed a request gets no more requests than its
	// slots: it has no queue, or others send requests to it too.
	shedCooldown = 10 * time.Second
	// answerLoadValidity is how long the load in an answer is preferred to an exchanged one.
	answerLoadValidity = 500 * time.Millisecond
)

// replica is the queue's state of one replica.
type replica struct {
	hash        uint32
	zone        string
	slots       int
	unavailable bool // removed from the list of replicas; kept while grants are held there
	held        int  // grants in progress

	// peaks are the maximum numbers of grants held in each of the last intervals; interval is
	// the number of the newest, counted from firstSeen.
	peaks     [peakIntervals]int
	interval  int64
	firstSeen time.Time

	listedLoad  int       // load in the latest list of replicas
	otherLoad   float64   // load at otherLoadAt that is not from this queue's grants
	otherLoadAt time.Time // zero if no load was reported
	answeredAt  time.Time // when an answer reported the load
	shedAt      time.Time // when it shed a request; zero if never
	extraSlots  int       // number of requests beyond its slots that it may get

	pace     float64 // latest reported slowdown factor, 1 at usual speed
	paceAt   time.Time
	meanPace float64

	// The estimates at the time of the present call, see refresh.
	paceNow, otherLoadNow float64
}

// capacity is the number of requests that the replica may get at once: its slots and a quarter
// more, at least one, so that the network delay leaves no slot idle; only its slots for
// shedCooldown after it shed a request.
func (r *replica) capacity() int { return r.slots + r.extraSlots }

// updateExtraSlots updates the number of requests beyond the slots to now.
func (r *replica) updateExtraSlots(now time.Time) {
	r.extraSlots = max(1, r.slots/4)
	if !r.shedAt.IsZero() && now.Sub(r.shedAt) < shedCooldown {
		r.extraSlots = 0
	}
}

// freeSlots returns how many more requests the replica may get.
func (r *replica) freeSlots() int {
	if r.unavailable {
		return 0
	}
	return int(float64(r.capacity()-r.held) - r.otherLoadNow)
}

// contentionFactor returns how many times as long a request takes with n requests at the replica
// as it takes alone.
func (r *replica) contentionFactor(n float64) float64 { return max(1, n/float64(r.slots)) }

// cost returns the cost of one more request from a router in the zone: the load relative to the
// slots, times the pace. The replica with the lowest cost is used.
func (r *replica) cost(zone string) float64 {
	n := float64(r.held) + r.otherLoadNow + 1
	if r.zone != zone {
		n += otherZoneCost * float64(r.slots)
	}
	return n / float64(r.slots) * r.paceNow
}

// changeHeld changes the number of grants held and updates the peak of the interval.
func (r *replica) changeHeld(change int, now time.Time) {
	r.startInterval(now)
	r.held += change
	i := r.interval % peakIntervals
	r.peaks[i] = max(r.peaks[i], r.held)
}

// startInterval advances to the present interval. The intervals skipped had the present number
// of grants.
func (r *replica) startInterval(now time.Time) {
	current := int64(now.Sub(r.firstSeen) / peakInterval)
	r.interval = max(r.interval, current-peakIntervals)
	for r.interval < current {
		r.interval++
		r.peaks[r.interval%peakIntervals] = r.held
	}
}

// recordLoad records a reported load that is up to `age` intervals old. The load beyond the peak
// of grants held in that time comes from others: requests of other routers, of another coordinator
// or of the previous one.
func (r *replica) recordLoad(load, age int, now time.Time) {
	r.startInterval(now)
	held := r.held
	for i := range int64(age) {
		held = max(held, r.peaks[(r.interval-i+peakIntervals)%peakIntervals])
	}
	r.otherLoad = float64(max(0, load-held))
	r.otherLoadAt = now
}

// refresh updates the estimates of the replica to now. The load from others is kept for the time of two
// requests, in which a new report is expected, and then decays as those requests end: a replica
// without grants reports no load in answers and would otherwise stay idle.
func (r *replica) refresh(now time.Time, service time.Duration) {
	r.updateExtraSlots(now)
	r.paceNow = r.meanPace
	if age := now.Sub(r.paceAt); age < 10*paceTau {
		r.paceNow += (r.pace - r.meanPace) * math.Exp(-age.Seconds()/paceTau.Seconds())
	}
	r.paceNow = max(r.paceNow, minPace)
	r.otherLoadNow = r.otherLoad
	tau := min(max(time.Duration(float64(service)*r.paceNow), minOtherLoadTau), maxOtherLoadTau)
	if age := now.Sub(r.otherLoadAt) - 2*tau; age > 0 && r.otherLoad > 0 {
		r.otherLoadNow *= math.Exp(-age.Seconds() / tau.Seconds())
	}
	if r.otherLoadNow < 0.5 {
		r.otherLoadNow = 0
	}
}

// recordPace records a reported pace. It ignores invalid values.
func (r *replica) recordPace(pace float64, now time.Time) {
	if !(pace > 0) || math.IsInf(pace, 0) {
		return
	}
	r.pace = min(max(pace, minPace), maxPace)
	r.paceAt = now
	if r.meanPace == 0 {
		r.meanPace = r.pace
	}
	r.meanPace += meanPaceWeight * (r.pace - r.meanPace)
}

// recordAnswer records the load and pace in an answer, and whether the replica shed the request.
func (r *replica) recordAnswer(u Usage, now time.Time) {
	r.recordPace(u.Pace, now)
	if u.Shed {
		r.shedAt = now
		r.updateExtraSlots(now)
	}
	if u.Slots <= 0 {
		return
	}
	r.slots = u.Slots
	r.answeredAt = now
	r.recordLoad(max(0, u.Running)+max(0, u.Waiting), answerLoadAge, now)
}

// updateFromList updates the replica from the list of available ones. It ignores a load that has
// not changed, as that is no new report, and a load after a recent answer, which is more
// accurate.
func (r *replica) updateFromList(p AvailableReplica, first bool, now time.Time) {
	r.zone = p.Zone
	r.unavailable = false
	fresh := now.Sub(r.answeredAt) < answerLoadValidity
	if first || !fresh {
		r.slots = max(1, p.Slots)
		if first || p.Pace != r.pace {
			r.recordPace(p.Pace, now)
		}
	}
	if first || (!fresh && p.Load != r.listedLoad) {
		r.recordLoad(p.Load, peakIntervals, now)
	}
	r.listedLoad = p.Load
}

// SetReplicas sets the replicas that may be used now. Grants at other replicas continue until
// they are released.
func (q *Queue) SetReplicas(available []AvailableReplica) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, r := range q.replicas {
		r.unavailable = true
	}
	for _, p := range available {
		r, first := q.findReplica(p.Hash), false
		if r == nil {
			r, first = &replica{hash: p.Hash, firstSeen: now, meanPace: 1, pace: 1}, true
			q.replicas = append(q.replicas, r)
		}
		r.updateFromList(p, first, now)
	}
	q.replicas = slices.DeleteFunc(q.replicas, func(r *replica) bool { return r.unavailable && r.held == 0 })
	q.refresh(now)
}

// findReplica returns the replica with the hash, nil if there is none.
func (q *Queue) findReplica(hash uint32) *replica {
	for _, r := range q.replicas {
		if r.hash == hash {
			return r
		}
	}
	return nil
}

// pickReplica returns the best replica with free slots for the request, nil if there is none. If
// the request would be late at each of them but could be in time at a full one, it waits for a
// slot there: a replica at pace 8 answers no request in time whose latency target is less than
// eight times the usual time.
func (q *Queue) pickReplica(e *entry, now time.Time) *replica {
	var best, late *replica
	fullInTime := false
	for _, r := range q.replicas {
		if r.unavailable || slices.Contains(e.Exclude, r.hash) {
			continue
		}
		inTime := !now.Add(q.expectedHoldTime(r)).After(e.answerBy)
		switch {
		case r.freeSlots() < 1:
			fullInTime = fullInTime || inTime
		case inTime && (best == nil || r.cost(e.Zone) < best.cost(e.Zone)):
			best = r
		case !inTime && (late == nil || r.cost(e.Zone) < late.cost(e.Zone)):
			late = r
		}
	}
	if best == nil && !fullInTime {
		return late
	}
	return best
}
