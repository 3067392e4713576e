package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponentially growing delays with jitter between attempts.
type Backoff struct {
	Base time.Duration  // upper limit of the first delay
	Max  time.Duration  // upper limit of every delay
	Rand func() float64 // random numbers in [0, 1); math/rand/v2 when nil
}

// Delay returns the delay after the given attempt; the first attempt is 0. The
// delay is random between half of the exponential limit and that limit.
func (b Backoff) Delay(attempt int) time.Duration {
	limit := b.Base
	for range attempt {
		if limit >= b.Max/2 {
			limit = b.Max
			break
		}
		limit *= 2
	}
	limit = min(limit, b.Max)
	random := b.Rand
	if random == nil {
		random = rand.Float64
	}
	half := limit / 2
	return half + time.Duration(random()*float64(limit-half))
}

// Wait waits for the delay after the given attempt, or until ctx is done.
func (b Backoff) Wait(ctx context.Context, attempt int) error {
	if !For(ctx, b.Delay(attempt)) {
		return ctx.Err()
	}
	return nil
}
