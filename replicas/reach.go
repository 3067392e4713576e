package replicas

import "time"

const (
	// probeFirst and probeLast bound the pause between two connections that are
	// tried to a lost replica.
	probeFirst = 150 * time.Millisecond
	probeLast  = time.Second
	// zoneLost is the number of lost replicas of a zone at which the others are
	// taken for lost too.
	zoneLost = 2
	// answeredLately is how long an answer of a replica shows that it is reached.
	answeredLately = 250 * time.Millisecond
)

// reach is whether a replica can be connected to.
type reach struct {
	lost     bool
	answered time.Time
	next     time.Time
	pause    time.Duration
}

// Losses returns a channel that tells of newly lost replicas; several may be told of at
// once.
func (t *Table) Losses() <-chan struct{} { return t.losses }

// Lose takes a replica for lost that could not be connected to: it gets no
// requests until a connection succeeds. If several replicas of a zone are lost
// the zone is likely cut off, so the others that have not answered lately are
// taken for lost too. It returns all that were lost by the call.
func (t *Table) Lose(r *Replica) []*Replica {
	lost := t.lose(r)
	if len(lost) > 0 {
		select {
		case t.losses <- struct{}{}:
		default: // it tells of others already
		}
	}
	return lost
}

func (t *Table) lose(r *Replica) []*Replica {
	now := t.clock.Now()
	lost := []*Replica{}
	if r.lose(now, true) {
		lost = append(lost, r)
	}
	if r.Zone() == "" {
		return lost
	}
	inZone := 0
	t.Replicas(func(other *Replica) {
		if other.Zone() == r.Zone() && other.Lost() {
			inZone++
		}
	})
	if inZone < zoneLost {
		return lost
	}
	t.Replicas(func(other *Replica) {
		if other.Zone() == r.Zone() && other.lose(now, false) {
			lost = append(lost, other)
		}
	})
	return lost
}

// lose marks the replica and reports whether it was not lost before. Without
// certainty a replica that answered lately is spared.
func (r *Replica) lose(now time.Time, certain bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reach.lost || !certain && now.Sub(r.reach.answered) < answeredLately {
		return false
	}
	r.reach.lost = true
	r.reach.pause = probeFirst
	r.reach.next = now
	return true
}

// Lost reports whether the replica cannot be connected to.
func (r *Replica) Lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reach.lost
}

// Due returns the lost replicas to which a connection is to be tried now, and the time
// until the next one is due; 0 if none is lost.
func (t *Table) Due() (due []*Replica, wait time.Duration) {
	now := t.clock.Now()
	t.Replicas(func(r *Replica) {
		next, lost := r.due(now, func() { due = append(due, r) })
		if lost && (wait == 0 || next < wait) {
			wait = next
		}
	})
	return due, wait
}

// due calls try if a connection to the replica is to be tried now. It returns the time
// until the next try and whether the replica is lost.
func (r *Replica) due(now time.Time, try func()) (wait time.Duration, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reach.lost {
		return 0, false
	}
	if !now.Before(r.reach.next) {
		r.reach.next = now.Add(r.reach.pause)
		r.reach.pause = min(2*r.reach.pause, probeLast)
		try()
	}
	return r.reach.next.Sub(now), true
}

// Reached takes in that a connection to the replica succeeded, and reports
// whether the replica was lost.
func (r *Replica) Reached(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.reach.lost
	r.reach = reach{answered: now}
	return was
}
