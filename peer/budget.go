package peer

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

const (
	// burstDuration is how much of the budget, in time, a burst may use at once.
	burstDuration = 4 * time.Second
	// muxOverheadBytes is roughly what the yamux frame adds to a message.
	muxOverheadBytes = 12
)

// errOverBudget means that a message was shed to stay within the byte budget.
var errOverBudget = errors.New("message shed to keep to the byte budget")

// priority decides which messages are shed first. A lower value is more important.
type priority int

// The priorities, highest first. Vital messages are always sent and count
// against the budget: permits and the state that decides on them, heartbeats,
// leaving notices and small changes of the configuration. Fetches of the
// configuration have large replies; they are shed while the budget is overdrawn
// and retried later. All other messages are shed while less than half of a
// burst is left.
const (
	priorityVital priority = iota
	priorityFetch
	priorityOther
)

// priority returns the priority of the kind's messages.
func (k Kind) priority() priority {
	switch {
	case k <= KindDemands || k == KindDelta || k == KindDigest || k.isRequestTraffic():
		return priorityVital
	case k == KindFetch:
		return priorityFetch
	default:
		return priorityOther
	}
}

// isRequestTraffic reports whether the kind's messages belong to callers'
// requests and grow with their number. The budget limits control traffic only,
// so these messages do not count against it.
func (k Kind) isRequestTraffic() bool { return k == KindChangeClaims || k == KindTakeOver }

// byteBudget is a token bucket that limits the bytes of control traffic.
type byteBudget struct {
	clock peridotusher.Clock
	rate  float64 // bytes per second; zero for no limit

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newByteBudget(clock peridotusher.Clock, bytesPerSecond int) *byteBudget {
	b := &byteBudget{clock: clock, rate: float64(bytesPerSecond), last: clock.Now()}
	b.tokens = b.burst()
	return b
}

// burst returns the capacity of the bucket, which is also the most that it may
// be overdrawn.
func (b *byteBudget) burst() float64 { return b.rate * burstDuration.Seconds() }

// spend subtracts the bytes of a message that was sent.
func (b *byteBudget) spend(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens = max(b.tokens-float64(size+muxOverheadBytes), -b.burst())
}

// admits reports whether a message of the priority may be sent now.
func (b *byteBudget) admits(p priority) bool {
	if b.rate == 0 || p == priorityVital {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if p == priorityFetch {
		return b.tokens >= 0
	}
	return b.tokens >= b.burst()/2
}

func (b *byteBudget) refill() {
	now := b.clock.Now()
	b.tokens = min(b.tokens+b.rate*now.Sub(b.last).Seconds(), b.burst())
	b.last = now
}
