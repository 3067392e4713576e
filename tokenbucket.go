package peridotusher

import "time"

// TokenBucket is a token bucket whose rate and size may change. The zero value is empty. It is not safe for
// concurrent use.
type TokenBucket struct {
	tokens   float64
	filledAt time.Time // when the tokens were counted; zero before the first Refill
}

// NewTokenBucket returns a bucket that holds a number of tokens.
func NewTokenBucket(now time.Time, tokens float64) TokenBucket {
	return TokenBucket{tokens: tokens, filledAt: now}
}

// Refill adds the tokens since the last call, at a rate in tokens a second, up to size.
func (b *TokenBucket) Refill(now time.Time, rate, size float64) {
	if !b.filledAt.IsZero() {
		b.tokens = min(b.tokens+rate*now.Sub(b.filledAt).Seconds(), size)
	}
	b.filledAt = now
}

// Missing returns how many of n tokens are missing as of the last Refill, 0 if none is.
func (b *TokenBucket) Missing(n int) float64 { return max(float64(n)-b.tokens, 0) }

// Take takes a token, also one that is missing.
func (b *TokenBucket) Take() { b.tokens-- }
