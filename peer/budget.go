package peer

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

const (
	// burstTime is the time whose budget may be spent at once.
	burstTime = 4 * time.Second
	// frameBytes is about what yamux adds to a message.
	frameBytes = 12
)

// errOverBudget means that a message was shed to keep to the budget.
var errOverBudget = errors.New("message shed to keep to the byte budget")

// rank orders messages by their importance.
type rank int

// The ranks, the most important first. What is vital is always sent and uses
// up the budget: permits and what they rest on, heartbeats, leaving notices and
// small changes of the configuration. Fetches of the configuration, whose answers are large, are
// shed while the budget is overdrawn and tried again later. All the rest is
// shed while less than half of a burst is left.
const (
	rankVital rank = iota
	rankFetch
	rankOther
)

// rank returns the importance of a kind.
func (k Kind) rank() rank {
	switch {
	case k <= KindDemands || k == KindDelta || k == KindDigest || k.carriesCalls():
		return rankVital
	case k == KindFetch:
		return rankFetch
	default:
		return rankOther
	}
}

// carriesCalls returns whether the kind's messages belong to callers' requests
// and grow with them. They are sent beside the budget of control traffic.
func (k Kind) carriesCalls() bool { return k == KindChangeClaims || k == KindTakeOver }

// budget is a bucket of bytes that fills with time.
type budget struct {
	clock peridotusher.Clock
	rate  float64 // bytes per second; zero for no limit

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newBudget(clock peridotusher.Clock, bytesPerSecond int) *budget {
	b := &budget{clock: clock, rate: float64(bytesPerSecond), last: clock.Now()}
	b.tokens = b.burst()
	return b
}

// burst returns the size of the bucket. As much may be overdrawn.
func (b *budget) burst() float64 { return b.rate * burstTime.Seconds() }

// spend takes the bytes of a message that was sent.
func (b *budget) spend(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens = max(b.tokens-float64(size+frameBytes), -b.burst())
}

// admits reports whether a message of the rank may be sent now.
func (b *budget) admits(r rank) bool {
	if b.rate == 0 || r == rankVital {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if r == rankFetch {
		return b.tokens >= 0
	}
	return b.tokens >= b.burst()/2
}

func (b *budget) refill() {
	now := b.clock.Now()
	b.tokens = min(b.tokens+b.rate*now.Sub(b.last).Seconds(), b.burst())
	b.last = now
}
