package engine

import (
	"sync"
	"time"
)

// silence calls a function when a wait lasts for longer than a limit. Its
// timer is not set anew for each wait: it runs to its end, and is then set to
// the end of the wait of that moment. A timer that ends outside of a wait is
// set by the next wait.
type silence struct {
	limit time.Duration
	ended func()

	mu      sync.Mutex
	timer   *time.Timer
	armed   bool
	waiting bool
	since   time.Time // of the last sign of life in this wait
}

// newSilence returns a silence outside of a wait.
func newSilence(limit time.Duration, ended func()) *silence {
	return &silence{limit: limit, ended: ended}
}

// wait begins a wait.
func (s *silence) wait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = true
	s.since = time.Now()
	if s.armed {
		return
	}
	s.armed = true
	if s.timer == nil {
		s.timer = time.AfterFunc(s.limit, s.check)
		return
	}
	s.timer.Reset(s.limit)
}

// alive notes a sign of life.
func (s *silence) alive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Now()
}

// rest ends a wait.
func (s *silence) rest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
}

// stop ends the wait and the timer.
func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
	if s.timer != nil {
		s.armed = !s.timer.Stop() && s.armed
	}
}

// check runs at the end of the timer.
func (s *silence) check() {
	if s.over() {
		s.ended()
	}
}

// over returns whether the wait has lasted too long. If not, it sets the timer
// to the earliest time at which it will have.
func (s *silence) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = false
	if !s.waiting {
		return false
	}
	left := s.limit - time.Since(s.since)
	if left <= 0 {
		return true
	}
	s.armed = true
	s.timer.Reset(left)
	return false
}
