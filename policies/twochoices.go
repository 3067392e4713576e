package policies

import (
	"math/rand/v2"
	"slices"
	"sync"

	"peridotusher.example/peridotusher"
)

// TwoChoices sends each request to the less loaded of two random engines, by the load that was
// reported to this router.
type TwoChoices struct {
	loads peridotusher.LoadView
	mu    sync.Mutex
	rand  *rand.Rand
}

// NewTwoChoices returns a TwoChoices with its own random source.
func NewTwoChoices(seed uint64, loads peridotusher.LoadView) *TwoChoices {
	return &TwoChoices{loads: loads, rand: rand.New(rand.NewPCG(seed, 1))}
}

// Order implements peridotusher.Policy.
func (p *TwoChoices) Order(_ peridotusher.Request, engines []peridotusher.Engine) []peridotusher.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	order := slices.Clone(engines)
	p.rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if len(order) > 1 && p.loads.Work(order[1].ID()) < p.loads.Work(order[0].ID()) {
		order[0], order[1] = order[1], order[0]
	}
	return order
}

// Bounded implements peridotusher.Policy.
func (p *TwoChoices) Bounded() bool { return false }
