package engine

import (
	"sync"
	"time"
)

// idleTimer calls onExpired when a wait passes the limit without activity.
// To avoid resetting the timer on every wait and every activity, the timer runs
// until it fires. It is then reset to the time at which the current wait would
// expire. If it fires while nothing waits, the next wait starts it again.
type idleTimer struct {
	limit     time.Duration
	onExpired func()

	mu           sync.Mutex
	timer        *time.Timer
	armed        bool // the timer is running
	waiting      bool
	lastActivity time.Time // start of this wait or the last activity since
}

// newIdleTimer returns an idleTimer that is not waiting.
func newIdleTimer(limit time.Duration, onExpired func()) *idleTimer {
	return &idleTimer{limit: limit, onExpired: onExpired}
}

// beginWait starts measuring idle time.
func (t *idleTimer) beginWait() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = true
	t.lastActivity = time.Now()
	if t.armed {
		return
	}
	t.armed = true
	if t.timer == nil {
		t.timer = time.AfterFunc(t.limit, t.onTimer)
		return
	}
	t.timer.Reset(t.limit)
}

// recordActivity restarts the idle time of the current wait.
func (t *idleTimer) recordActivity() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastActivity = time.Now()
}

// endWait stops measuring idle time. The timer keeps running.
func (t *idleTimer) endWait() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = false
}

// stop ends the wait and stops the timer.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = false
	if t.timer != nil {
		t.armed = !t.timer.Stop() && t.armed
	}
}

// onTimer runs when the timer fires.
func (t *idleTimer) onTimer() {
	if t.expired() {
		t.onExpired()
	}
}

// expired reports whether the current wait has passed the limit. If it has not,
// expired resets the timer to the earliest time at which the wait can expire.
func (t *idleTimer) expired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = false
	if !t.waiting {
		return false
	}
	left := t.limit - time.Since(t.lastActivity)
	if left <= 0 {
		return true
	}
	t.armed = true
	t.timer.Reset(left)
	return false
}
