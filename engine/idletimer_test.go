package engine

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestIdleTimer(t *testing.T) {
	const limit = time.Second
	tests := []struct {
		name string
		do   func(s *idleTimer)
		want time.Duration // time from the start to the call of onExpired, zero if it is not called
	}{
		{"no activity", func(s *idleTimer) { s.beginWait() }, limit},
		{"no wait", func(*idleTimer) {}, 0},
		{"wait ended", func(s *idleTimer) { s.beginWait(); s.endWait() }, 0},
		{"stopped", func(s *idleTimer) { s.beginWait(); s.stop() }, 0},
		{"one activity", func(s *idleTimer) { s.beginWait(); time.Sleep(limit / 2); s.recordActivity() }, limit * 3 / 2},
		{"second wait", func(s *idleTimer) { s.beginWait(); s.endWait(); time.Sleep(limit / 2); s.beginWait() }, limit * 3 / 2},
		{"wait after a long pause", func(s *idleTimer) { s.beginWait(); s.endWait(); time.Sleep(3 * limit); s.beginWait() }, 4 * limit},
		{"wait after stop", func(s *idleTimer) { s.beginWait(); s.stop(); s.beginWait() }, limit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var got time.Duration
				s := newIdleTimer(limit, func() { got = time.Since(start) })
				tt.do(s)
				time.Sleep(10 * limit)
				synctest.Wait()
				if got != tt.want {
					t.Errorf("expired after %v, want %v", got, tt.want)
				}
			})
		})
	}
}
