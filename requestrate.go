package peridotusher

import "time"

// requestRate limits the permits of an engine that accepts a limited number of requests a second. It
// is a token bucket for one request.
type requestRate struct {
	tokens float64
	at     time.Time // when the tokens were counted; zero before the first time
}

// refill adds the tokens since the last call at a rate in requests a second.
func (r *requestRate) refill(now time.Time, rate float64) {
	if !r.at.IsZero() {
		r.tokens = min(r.tokens+rate*now.Sub(r.at).Seconds(), 1)
	}
	r.at = now
}

// delay returns the time until the n-th request from now on has a token.
func (r *requestRate) delay(now time.Time, rate float64, n int) time.Duration {
	r.refill(now, rate)
	missing := float64(n) - r.tokens
	switch {
	case missing <= 0:
		return 0
	case rate <= 0:
		return maxRetryAfter
	}
	return min(time.Duration(missing/rate*float64(time.Second)), maxRetryAfter)
}

// take takes the token of a request.
func (r *requestRate) take() { r.tokens-- }
