package policies

import (
	"math/rand/v2"
	"slices"
	"sync"

	"peridotusher.example/peridotusher"
)

// TwoChoices sends each request to the one of two random engines that
// reported less work.
type TwoChoices struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// NewTwoChoices returns a TwoChoices with its own source.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{rand: rand.New(rand.NewPCG(seed, 1))}
}

// Order implements peridotusher.Policy.
func (p *TwoChoices) Order(_ peridotusher.Request, engines []peridotusher.Engine) []peridotusher.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	order := slices.Clone(engines)
	p.rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if len(order) > 1 && reported(order[1]) < reported(order[0]) {
		order[0], order[1] = order[1], order[0]
	}
	return order
}

// Bounded implements peridotusher.Policy.
func (p *TwoChoices) Bounded() bool { return false }

// reported returns the work of the engine's last report.
func reported(e peridotusher.Engine) int {
	report, _ := e.Report()
	return report.Work
}
