package policies

import (
	"math/rand/v2"
	"slices"
	"sync"

	"peridotusher.example/peridotusher"
)

// Random sends each request to a random engine.
type Random struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// NewRandom returns a Random with its own random source.
func NewRandom(seed uint64) *Random {
	return &Random{rand: rand.New(rand.NewPCG(seed, 0))}
}

// Order implements peridotusher.Policy.
func (p *Random) Order(_ peridotusher.Request, engines []peridotusher.Engine) []peridotusher.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	order := slices.Clone(engines)
	p.rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// Bounded implements peridotusher.Policy.
func (p *Random) Bounded() bool { return false }
