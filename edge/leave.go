package edge

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/relay"
)

const (
	// outOfRotation is how long after a router left the rotation connections come:
	// the balancer asks each second and needs two misses, and what the network lost
	// three times is sent again within 1.4 s.
	outOfRotation = 3400 * time.Millisecond
	// takesAll is how long after the start of a stop every request is taken: later
	// ones may not end before the kill.
	takesAll = 2800 * time.Millisecond
	// leaveLater is how much later a router leaves the rotation if others of its zone
	// are out of it, so that their listeners are closed before the zone needs them.
	// The platform allows 4 s with two misses.
	leaveLater = 1700 * time.Millisecond
	// backInRotation is how long new connections come after enough of the zone's
	// routers are ready again: the balancer asks each second, and what the network
	// lost twice is sent again within 0.6 s.
	backInRotation = 1800 * time.Millisecond
	// stopMargin is the time before the kill at which a stop ends.
	stopMargin = 400 * time.Millisecond
	// lastAnswers is the time before the end of a stop that is left for the answers
	// to what came last.
	lastAnswers = 300 * time.Millisecond
)

// leave decides how long a stopping router takes new connections. It answers the
// load of restarts that overlap in one zone: while some but fewer than half of a
// zone's routers are ready, the balancer uses all of them, also those that stop. The
// others stay in rotation until the first one to stop has closed, and then listen on
// until it or another one is back.
type leave struct {
	began time.Time
	end   time.Time // when the stop has to have ended

	mu    sync.Mutex
	out   time.Time // when it leaves the rotation
	since time.Time // since when the balancer needs no stopping router
	few   bool      // whether it needs them
	first bool      // whether all others of the zone were ready at a time of the stop
}

// stopTime is the time for a stop that is ended by a kill after grace.
func stopTime(grace time.Duration) time.Duration { return max(grace-stopMargin, 0) }

// newLeave starts a stop that is ended by a kill after grace, of a router in a zone.
func newLeave(now time.Time, grace time.Duration, zone mesh.ZoneCount) *leave {
	l := &leave{began: now, out: now.Add(leaveLater), end: now.Add(stopTime(grace)), since: now}
	l.look(now, zone)
	return l
}

// ready reports whether the router is still to be in rotation.
func (l *leave) ready(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.out)
}

// ending says which requests are taken.
func (l *leave) ending() relay.StopPolicy {
	return relay.StopPolicy{AcceptAllUntil: l.began.Add(takesAll), AnswerBy: l.end}
}

// look records how many routers of the zone there are and how many are ready. It
// returns whether the balancer needs stopping ones, and whether that is new.
func (l *leave) look(now time.Time, zone mesh.ZoneCount) (needed, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	short := zone.All > 1 && 2*zone.Ready < zone.All
	if !short && now.Before(l.out) {
		l.out = now
	}
	few := short && zone.Ready > 0
	if l.few && !few && !l.first {
		l.since = now
	}
	changed = few != l.few
	l.few = few
	l.first = l.first || zone.Ready == zone.All-1
	return few, changed
}

// over reports whether no new connections come any more, or no time is left for them.
func (l *leave) over(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !now.Before(l.end.Add(-lastAnswers)):
		return true
	case now.Before(l.out.Add(outOfRotation)), now.Before(l.since.Add(backInRotation)):
		return false
	}
	return l.first || !l.few
}

// left returns the time for requests in flight once no new connections are taken.
func (l *leave) left(now time.Time) time.Duration { return max(l.end.Sub(now), 0) }
