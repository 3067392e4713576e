package policies

import (
	"sync/atomic"

	"peridotusher.example/peridotusher"
)

// RoundRobin sends the requests of one router to the engines in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Order implements peridotusher.Policy.
func (p *RoundRobin) Order(_ peridotusher.Request, engines []peridotusher.Engine) []peridotusher.Engine {
	if len(engines) == 0 {
		return nil
	}
	first := int((p.next.Add(1) - 1) % uint64(len(engines)))
	order := make([]peridotusher.Engine, 0, len(engines))
	order = append(order, engines[first:]...)
	return append(order, engines[:first]...)
}

// Bounded implements peridotusher.Policy.
func (p *RoundRobin) Bounded() bool { return false }
