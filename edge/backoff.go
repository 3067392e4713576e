package edge

import (
	"math/rand/v2"
	"time"
)

// backoff gives pauses that double from first to last, with jitter.
type backoff struct {
	first, last time.Duration
	now         time.Duration
}

// next returns the next pause.
func (b *backoff) next() time.Duration {
	b.now = min(max(2*b.now, b.first), b.last)
	return b.now/2 + rand.N(b.now/2+1)
}

// reset begins with the first pause again.
func (b *backoff) reset() { b.now = 0 }
