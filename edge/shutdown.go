package edge

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/relay"
)

const (
	// rotationExitDelay is how long connections arrive after a router left the rotation: the
	// balancer checks once a second and needs two misses, and a packet that was lost three times
	// is sent again within 1.4 s.
	rotationExitDelay = 3400 * time.Millisecond
	// acceptAllPeriod is how long after the start of a stop every request is accepted. Later
	// requests may not end before the kill.
	acceptAllPeriod = 2800 * time.Millisecond
	// rotationExitPostponement is how much later a router leaves the rotation if too few of the
	// zone's other routers are in it, so that their listeners are closed before the zone needs
	// them. The platform allows 4 s including two misses.
	rotationExitPostponement = 1700 * time.Millisecond
	// rotationReturnDelay is how long new connections arrive after enough of the zone's routers
	// are ready again: the balancer checks once a second, and a packet that was lost twice is
	// sent again within 0.6 s.
	rotationReturnDelay = 1800 * time.Millisecond
	// stopMargin is how long before the kill a stop ends.
	stopMargin = 400 * time.Millisecond
	// answerReserve is the time at the end of a stop that is reserved for answering the requests
	// that arrived last.
	answerReserve = 300 * time.Millisecond
)

// shutdown decides how long a stopping router accepts new connections. It handles restarts that
// overlap in one zone: while some but fewer than half of a zone's routers are ready, the balancer
// uses all of them, including those that are stopping. Routers that stop after the first one
// therefore stay in the rotation until that one has closed, and then listen until it or another
// one is ready again.
type shutdown struct {
	startedAt time.Time
	deadline  time.Time // time by which the stop must have ended

	mu              sync.Mutex
	leaveRotationAt time.Time // time at which it leaves the rotation
	notNeededSince  time.Time // time since which the balancer does not use stopping routers
	needed          bool      // whether the balancer uses stopping routers
	othersWereReady bool      // whether all others of the zone were ready at some time of the stop
}

// stopDuration is the duration of a stop if the process is killed after grace.
func stopDuration(grace time.Duration) time.Duration { return max(grace-stopMargin, 0) }

// newShutdown starts the stop of a router in a zone, whose process is killed after grace.
func newShutdown(now time.Time, grace time.Duration, zone mesh.ZoneCount) *shutdown {
	s := &shutdown{startedAt: now, leaveRotationAt: now.Add(rotationExitPostponement), deadline: now.Add(stopDuration(grace)), notNeededSince: now}
	s.update(now, zone)
	return s
}

// inRotation reports whether the router is to remain in the rotation.
func (s *shutdown) inRotation(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.leaveRotationAt)
}

// stopPolicy returns which requests are accepted.
func (s *shutdown) stopPolicy() relay.StopPolicy {
	return relay.StopPolicy{AcceptAllUntil: s.startedAt.Add(acceptAllPeriod), AnswerBy: s.deadline}
}

// update records the number of the zone's routers and how many are ready. It returns whether the
// balancer uses stopping routers, and whether that changed.
func (s *shutdown) update(now time.Time, zone mesh.ZoneCount) (needed, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tooFewReady := zone.All > 1 && 2*zone.Ready < zone.All
	if !tooFewReady && now.Before(s.leaveRotationAt) {
		s.leaveRotationAt = now
	}
	nowNeeded := tooFewReady && zone.Ready > 0
	if s.needed && !nowNeeded && !s.othersWereReady {
		s.notNeededSince = now
	}
	changed = nowNeeded != s.needed
	s.needed = nowNeeded
	s.othersWereReady = s.othersWereReady || zone.Ready == zone.All-1
	return nowNeeded, changed
}

// done reports whether no new connections will arrive, or no time is left to serve them.
func (s *shutdown) done(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !now.Before(s.deadline.Add(-answerReserve)):
		return true
	case now.Before(s.leaveRotationAt.Add(rotationExitDelay)), now.Before(s.notNeededSince.Add(rotationReturnDelay)):
		return false
	}
	return s.othersWereReady || !s.needed
}

// remaining returns the time for requests in flight once no new connections are accepted.
func (s *shutdown) remaining(now time.Time) time.Duration { return max(s.deadline.Sub(now), 0) }
