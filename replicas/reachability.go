package replicas

import (
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// minProbeInterval and maxProbeInterval bound the time between two probes of an
	// unreachable replica, which doubles with each probe.
	minProbeInterval = 150 * time.Millisecond
	maxProbeInterval = time.Second
	// zonePartitionThreshold is the number of unreachable replicas of a zone from which on the
	// others are marked unreachable too.
	zonePartitionThreshold = 2
	// recentAnswerWindow is how long after an answer a replica is not marked unreachable
	// together with its zone.
	recentAnswerWindow = 250 * time.Millisecond
)

// reachability records whether a replica accepts connections.
type reachability struct {
	unreachable      bool
	connectionFailed bool          // whether a connection to the replica itself failed
	answeredAt       time.Time     // when it last answered
	nextProbe        time.Time     // when the next probe is scheduled
	probeInterval    time.Duration // time between the next probe and the one after it
}

// UnreachableSignal returns a channel that receives a value after replicas became unreachable
// or unreachable ones were listed again; one value may stand for several replicas.
func (t *Table) UnreachableSignal() <-chan struct{} { return t.unreachableSignal }

// MarkUnreachable marks a replica unreachable after a failed connection: it gets no requests
// until a connection succeeds. If several replicas of a zone are unreachable, the zone is
// probably partitioned, so its other replicas are marked too unless they answered recently.
// Replicas that are leaving say nothing about their zone, since they exit as planned.
// It returns all replicas that the call marked.
func (t *Table) MarkUnreachable(r *Replica) []*Replica {
	unreachable := t.markUnreachable(r)
	if len(unreachable) > 0 {
		t.signalUnreachable()
	}
	return unreachable
}

// signalUnreachable wakes the caller that probes unreachable replicas.
func (t *Table) signalUnreachable() {
	select {
	case t.unreachableSignal <- struct{}{}:
	default: // a signal is pending already
	}
}

// rescheduleProbes wakes the prober if a replica of the view is unreachable. It is called with
// each new view: while a replica is not listed, the prober does not wait for its next probe.
func (t *Table) rescheduleProbes() {
	if t.CountUnreachable() > 0 {
		t.signalUnreachable()
	}
}

func (t *Table) markUnreachable(r *Replica) []*Replica {
	now := t.clock.Now()
	unreachable := []*Replica{}
	coldDuration := t.coldDuration(r.Service())
	if r.markUnreachable(now, coldDuration, true) {
		unreachable = append(unreachable, r)
	}
	if r.Zone() == "" || r.LeavingFor(now) > 0 {
		return unreachable
	}
	inZone := 0
	t.ForEach(func(other *Replica) {
		if other.Zone() == r.Zone() && other.Unreachable() && other.LeavingFor(now) == 0 {
			inZone++
		}
	})
	if inZone < zonePartitionThreshold {
		return unreachable
	}
	t.ForEach(func(other *Replica) {
		if other.Zone() == r.Zone() && other.markUnreachable(now, 0, false) {
			unreachable = append(unreachable, other)
		}
	})
	return unreachable
}

// markUnreachable marks the replica and reports whether it was reachable before. observed is
// whether a connection to this replica itself failed; if not, a replica that answered
// recently is not marked.
func (r *Replica) markUnreachable(now time.Time, coldDuration time.Duration, observed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if observed {
		r.recordConnectionFailure(now, coldDuration)
	}
	if r.reachability.unreachable || !observed && now.Sub(r.reachability.answeredAt) < recentAnswerWindow {
		return false
	}
	r.reachability.unreachable = true
	r.reachability.probeInterval = minProbeInterval
	r.reachability.nextProbe = now
	return true
}

// ProbeFailed records that a probe of an unreachable replica failed.
func (t *Table) ProbeFailed(r *Replica) {
	now, coldDuration := t.clock.Now(), t.coldDuration(r.Service())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reachability.unreachable {
		r.recordConnectionFailure(now, coldDuration)
	}
}

// recordConnectionFailure records that a connection failed. The replica may restart at any
// time from now on, and a request may reach it before a probe does, so it is assumed to be
// cold immediately; r.mu is held.
func (r *Replica) recordConnectionFailure(now time.Time, coldDuration time.Duration) {
	if !r.reachability.connectionFailed {
		r.reachability.connectionFailed = true
		r.cold.recordConnectionFailure(now)
	}
	r.assumeRestarted(now, coldDuration)
}

// assumeRestarted assumes that the replica has just restarted and is cold, if its service
// has cold replicas; r.mu is held.
func (r *Replica) assumeRestarted(now time.Time, coldDuration time.Duration) {
	if coldDuration > 0 {
		r.cold.assume(now.Add(coldDuration), peridotusher.Position{})
		r.publishCold()
	}
}

// Unreachable reports whether the replica is marked unreachable.
func (r *Replica) Unreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reachability.unreachable
}

// CountUnreachable returns the number of replicas that are marked unreachable.
func (t *Table) CountUnreachable() int {
	n := 0
	t.ForEach(func(r *Replica) {
		if r.Unreachable() {
			n++
		}
	})
	return n
}

// DueProbes returns the unreachable replicas that have to be probed now, and the time until
// the next probe; 0 if no replica is unreachable.
func (t *Table) DueProbes() (due []*Replica, wait time.Duration) {
	now := t.clock.Now()
	t.ForEach(func(r *Replica) {
		next, unreachable := r.probeIfDue(now, func() { due = append(due, r) })
		if unreachable && (wait == 0 || next < wait) {
			wait = next
		}
	})
	return due, wait
}

// probeIfDue calls probe and schedules the next one if the replica has to be probed now. It
// returns the time until the next probe and whether the replica is unreachable.
func (r *Replica) probeIfDue(now time.Time, probe func()) (wait time.Duration, unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reachability.unreachable {
		return 0, false
	}
	if !now.Before(r.reachability.nextProbe) {
		r.reachability.nextProbe = now.Add(r.reachability.probeInterval)
		r.reachability.probeInterval = min(2*r.reachability.probeInterval, maxProbeInterval)
		probe()
	}
	return r.reachability.nextProbe.Sub(now), true
}

// MarkReachable records that a connection to the replica succeeded, and reports whether it
// was unreachable before. If a connection to it had failed, it may have restarted meanwhile,
// so it is assumed to be cold.
func (t *Table) MarkReachable(r *Replica) bool {
	now, coldDuration := t.clock.Now(), t.coldDuration(r.Service())
	r.mu.Lock()
	defer r.mu.Unlock()
	wasUnreachable := r.reachability.unreachable
	if wasUnreachable && r.reachability.connectionFailed {
		r.assumeRestarted(now, coldDuration)
	}
	r.reachability = reachability{answeredAt: now}
	return wasUnreachable
}
