package engine

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSilence runs in the time of a synctest bubble.
func TestSilence(t *testing.T) {
	const limit = time.Second
	tests := []struct {
		name string
		do   func(s *silence)
		want time.Duration // of the call since the start, zero for none
	}{
		{"silent", func(s *silence) { s.wait() }, limit},
		{"no wait", func(*silence) {}, 0},
		{"rests", func(s *silence) { s.wait(); s.rest() }, 0},
		{"stopped", func(s *silence) { s.wait(); s.stop() }, 0},
		{"alive once", func(s *silence) { s.wait(); time.Sleep(limit / 2); s.alive() }, limit * 3 / 2},
		{"waits again", func(s *silence) { s.wait(); s.rest(); time.Sleep(limit / 2); s.wait() }, limit * 3 / 2},
		{"waits after a long rest", func(s *silence) { s.wait(); s.rest(); time.Sleep(3 * limit); s.wait() }, 4 * limit},
		{"waits after a stop", func(s *silence) { s.wait(); s.stop(); s.wait() }, limit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var got time.Duration
				s := newSilence(limit, func() { got = time.Since(start) })
				tt.do(s)
				time.Sleep(10 * limit)
				synctest.Wait()
				if got != tt.want {
					t.Errorf("ended after %v, want %v", got, tt.want)
				}
			})
		})
	}
}
