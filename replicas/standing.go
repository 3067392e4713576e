package replicas

import (
	"math"
	"time"
)

// Outcome is how a request ended as far as the replica is to blame.
type Outcome int

// The outcomes.
const (
	// Good answers were whole and in time.
	Good Outcome = iota
	// Failed requests got an error, a broken or a wrong answer, or none in time.
	Failed
	// Misplaced replicas are not at the address where they are looked for.
	Misplaced
)

const (
	// standingHalfLife is the time after which an outcome counts half.
	standingHalfLife = 2500 * time.Millisecond
	// shortestBench and longestBench bound the time that a replica is avoided.
	shortestBench = 700 * time.Millisecond
	longestBench  = 6 * time.Second
	// calmAfter is the time without trouble that resets the bench time.
	calmAfter = 10 * time.Second
)

// standing is the recent record of a replica.
type standing struct {
	good, bad float64
	at        time.Time
	until     time.Time // avoided until then
	bench     time.Duration
	benched   time.Time
}

func (s *standing) decay(now time.Time) {
	if !s.at.IsZero() {
		f := math.Exp2(-float64(now.Sub(s.at)) / float64(standingHalfLife))
		s.good *= f
		s.bad *= f
	}
	s.at = now
}

func (s *standing) add(now time.Time, good, bad float64) {
	s.decay(now)
	s.good += good
	s.bad += bad
}

func (s *standing) record(now time.Time, o Outcome) {
	switch o {
	case Good:
		s.add(now, 1, 0)
	case Failed:
		s.add(now, 0, 1)
	case Misplaced:
		s.add(now, 0, 1)
		s.avoid(now)
	}
}

func (s *standing) ratio(now time.Time) (samples, failed float64) {
	s.decay(now)
	samples = s.good + s.bad
	if samples < 0.01 {
		return 0, 0
	}
	return samples, s.bad / samples
}

// avoided reports whether the replica is avoided at the moment.
func (s *standing) avoided(now time.Time) bool { return now.Before(s.until) }

// avoid benches the replica for a time that doubles while trouble goes on.
func (s *standing) avoid(now time.Time) {
	if s.avoided(now) {
		return
	}
	s.bench = min(max(2*s.bench, shortestBench), longestBench)
	if now.Sub(s.benched) > calmAfter {
		s.bench = shortestBench
	}
	s.benched = now
	s.until = now.Add(s.bench)
	s.good, s.bad = 0, 0
}
