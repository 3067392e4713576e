package peridotusher

import "time"

// Clock is the source of time for decisions. Durations between two readings must not
// be affected by steps of the wall clock.
type Clock interface {
	Now() time.Time
}

// ClockFunc adapts a function such as time.Now to Clock.
type ClockFunc func() time.Time

// Now implements Clock.
func (f ClockFunc) Now() time.Time { return f() }
