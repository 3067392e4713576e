package edge

import (
	"context"
	"time"

	"peridotusher.example/peridotusher/pause"
)

const (
	// joinFor is how long after its start a router waits for what seeds know that
	// it reaches, before it reads the store itself.
	joinFor = 400 * time.Millisecond
	// joinEvery is the time between two questions to seeds.
	joinEvery = 80 * time.Millisecond
	// joinLook is the time between two looks whether the router knows enough.
	joinLook = 10 * time.Millisecond
)

// joinStep is what a router that starts does next.
type joinStep int

const (
	joinWait joinStep = iota
	joinAsk
	joinDone
)

// joining decides how a router that starts comes to know the configuration and the
// replicas. It answers the load of a fleet whose routers all start at once: the seeds
// read the store, the others ask them, so that not everyone reads it whole. Seeds that
// are not reached are not waited for.
type joining struct {
	seed  bool // whether this router is a seed
	alone bool // whether there are no other seeds

	asked  int
	silent bool          // whether no seed was reached last
	next   time.Duration // when to ask again, since the start
}

// step returns what to do at a time since the start; knows says whether the router
// knows enough to serve.
func (j *joining) step(up time.Duration, knows bool) joinStep {
	switch {
	case knows || j.alone:
		return joinDone
	case j.asked > 0 && (j.seed || j.silent || up >= joinFor):
		return joinDone
	case up < j.next:
		return joinWait
	}
	j.asked++
	j.next = up + joinEvery
	return joinAsk
}

// join takes over what another router knows.
func (r *Router) join(ctx context.Context) error {
	defer close(r.joined)
	began := r.clock.Now()
	seed, others := r.node.Seeds()
	j := &joining{seed: seed, alone: others == 0}
	for ctx.Err() == nil {
		switch j.step(r.clock.Now().Sub(began), r.knows()) {
		case joinDone:
			r.Log.Event("joined", "seed", seed, "asked", j.asked, "knows", r.knows(), "took", r.clock.Now().Sub(began))
			return nil
		case joinAsk:
			j.silent = !r.node.Join(ctx, j.asked-1)
		case joinWait:
			pause.For(ctx, joinLook)
		}
	}
	return nil
}

// awaitJoin waits until the router may read the store itself: a seed may at once.
func (r *Router) awaitJoin(ctx context.Context) {
	if seed, _ := r.node.Seeds(); seed {
		return
	}
	select {
	case <-r.joined:
	case <-ctx.Done():
	}
}

// knows reports whether the router knows enough to serve.
func (r *Router) knows() bool { return r.current.Load() != nil && r.listed.Load() }
