package replicas

import (
	"math"
	"time"
)

// Outcome is the result of a request, as outlier detection counts it.
type Outcome int

const (
	// Good is a complete answer in time.
	Good Outcome = iota
	// Failed is an error, an incomplete or wrong answer, or no answer in time.
	Failed
	// Misdirected is an answer from another replica at the address.
	Misdirected
)

const (
	// outcomeHalfLife is the time after which an outcome has half of its weight.
	outcomeHalfLife = 2500 * time.Millisecond
	// minEjection and maxEjection bound the time for which a replica is ejected.
	minEjection = 700 * time.Millisecond
	maxEjection = 6 * time.Second
	// ejectionResetTime is the time since the last ejection after which the next one lasts
	// minEjection again.
	ejectionResetTime = 10 * time.Second
)

// health is the state that outlier detection keeps of a replica.
type health struct {
	good, bad        float64 // number of outcomes, decayed until decayedAt
	decayedAt        time.Time
	ejectedUntil     time.Time
	ejectionDuration time.Duration // of the last ejection
	ejectedAt        time.Time
}

func (s *health) decay(now time.Time) {
	if !s.decayedAt.IsZero() {
		f := math.Exp2(-float64(now.Sub(s.decayedAt)) / float64(outcomeHalfLife))
		s.good *= f
		s.bad *= f
	}
	s.decayedAt = now
}

func (s *health) add(now time.Time, good, bad float64) {
	s.decay(now)
	s.good += good
	s.bad += bad
}

func (s *health) record(now time.Time, o Outcome) {
	switch o {
	case Good:
		s.add(now, 1, 0)
	case Failed:
		s.add(now, 0, 1)
	case Misdirected:
		s.add(now, 0, 1)
		s.eject(now)
	}
}

func (s *health) failureRatio(now time.Time) (samples, failed float64) {
	s.decay(now)
	samples = s.good + s.bad
	if samples < 0.01 {
		return 0, 0
	}
	return samples, s.bad / samples
}

// ejected reports whether the replica is ejected at a time.
func (s *health) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// eject ejects the replica. The duration doubles with each ejection until ejectionResetTime
// passes without one.
func (s *health) eject(now time.Time) {
	if s.ejected(now) {
		return
	}
	s.ejectionDuration = min(max(2*s.ejectionDuration, minEjection), maxEjection)
	if now.Sub(s.ejectedAt) > ejectionResetTime {
		s.ejectionDuration = minEjection
	}
	s.ejectedAt = now
	s.ejectedUntil = now.Add(s.ejectionDuration)
	s.good, s.bad = 0, 0
}
