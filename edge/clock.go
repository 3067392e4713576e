package edge

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that also counts the time in which the host was suspended. Steps of
// the time of day do not affect it.
type Clock struct {
	start time.Time
	boot  time.Duration
	lag   atomic.Int64 // how far Go's monotonic clock is behind, in nanoseconds
}

// NewClock returns a Clock.
func NewClock() *Clock { return &Clock{start: time.Now(), boot: timeSinceBoot()} }

// Now implements peridotusher.Clock.
func (c *Clock) Now() time.Time {
	return time.Unix(0, int64(time.Since(c.start))+c.lag.Load()).Add(c.boot)
}

// Adjust adds the time in which the host was suspended since the last call, and returns it. It is
// usually 0.
func (c *Clock) Adjust() time.Duration {
	gap := c.suspended()
	c.lag.Add(int64(gap))
	return gap
}

// suspended returns the time in which the host was suspended since the last call of Adjust.
func (c *Clock) suspended() time.Duration {
	const noise = 50 * time.Millisecond
	lag := timeSinceBoot() - c.boot - time.Since(c.start)
	gap := lag - time.Duration(c.lag.Load())
	if gap < noise {
		return 0
	}
	return gap
}

func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // suspended time is not counted then
	}
	return time.Duration(ts.Nano())
}

// timeOfDay returns the wall clock time.
func (r *Router) timeOfDay() time.Time {
	if r.TimeOfDay == nil {
		return time.Now()
	}
	return r.TimeOfDay.Now()
}

// incarnationBits is the number of random bits of an incarnation. They tell two starts apart that
// see the same time of day because it was set back between them.
const incarnationBits = 10

// newIncarnation returns an identifier of a start of the router. Routers of earlier versions
// expect it to increase with each start, which the time of day makes likely.
func newIncarnation(started time.Time) int64 {
	return started.UnixMilli()<<incarnationBits | rand.Int64N(1<<incarnationBits)
}
