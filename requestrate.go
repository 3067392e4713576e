package peridotusher

import "time"

// requestRate limits the permits of an engine that accepts a limited number of requests a second. Its
// bucket holds one token, for one request.
type requestRate struct{ bucket TokenBucket }

// delay returns the time until the n-th request from now on has a token, at a rate in requests a second.
func (r *requestRate) delay(now time.Time, rate float64, n int) time.Duration {
	r.bucket.Refill(now, rate, 1)
	missing := r.bucket.Missing(n)
	switch {
	case missing <= 0:
		return 0
	case rate <= 0:
		return maxRetryAfter
	}
	return min(time.Duration(missing/rate*float64(time.Second)), maxRetryAfter)
}

// take takes the token of a request.
func (r *requestRate) take() { r.bucket.Take() }
