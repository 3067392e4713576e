package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
)

const (
	// settleLook is the time between two looks for replicas to ask.
	settleLook = 60 * time.Millisecond
	// alone is how long after its start a router asks by itself, since other ones
	// may not have been heard yet; then those that were heard share the replicas.
	alone = 500 * time.Millisecond
	// askAlone bounds the replicas that a router asks by itself.
	askAlone = 12
	// askFor is the time after which the routers have asked all replicas.
	askFor = 1500 * time.Millisecond
	// askTime bounds a question for the parts of a replica.
	askTime = time.Second
	// askAtOnce is the number of replicas asked at once.
	askAtOnce = 4
	// askedMost is the number of replicas above which none is asked: publishing
	// all parts to all routers takes longer than to read some again, and prompts go to
	// the first replica of their part's order, where most parts are.
	askedMost = 512
	// partLeast is the number of tokens below which a part in a replica's list is not
	// taken over. Most are what single requests read and no other one shares; a small
	// one that is shared is read again within milliseconds.
	partLeast = 500
	// partsTopic and an id order the routers that ask a replica.
	partsTopic = "parts/"
)

// settle learns which parts of prompts the replicas hold, if no other router
// knows: when all started anew. The routers share the replicas among them and
// publish what they learn. It begins when the first prompt comes, and ends when the router
// knows, or another one that does has published it.
func (r *Router) settle(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(askAtOnce)
	asked := make(map[uint32]bool)
	started := r.clock.Now()
	r.node.Join(ctx)
	select {
	case <-r.directory.Queried():
	case <-ctx.Done():
	}
	began := r.clock.Now()
	for ctx.Err() == nil && !r.settled.Load() {
		now := r.clock.Now()
		for _, replica := range r.toAsk(now.Sub(started), asked) {
			group.Go(func() error {
				r.askParts(ctx, replica)
				return nil
			})
		}
		if now.Sub(began) > askFor {
			r.settled.Store(true)
		}
		pause.For(ctx, settleLook)
	}
	return group.Wait()
}

// toAsk returns the replicas that this router is to ask now, and marks them: those
// with a model that were not asked and of which nothing is known. up is the time
// since the router's start.
func (r *Router) toAsk(up time.Duration, asked map[uint32]bool) []*replicas.Replica {
	models := r.models()
	if len(models) > askedMost {
		return nil
	}
	now := r.clock.Now()
	var out []*replicas.Replica
	for _, replica := range models {
		if asked[replica.Hash()] || replica.Unreachable() || r.directory.HoldsAny(replica.Hash()) {
			continue
		}
		if r.table.Evacuated(replica.Zone()) || r.slowStart.Cold(replica, now) {
			continue
		}
		if up < alone || r.node.Rank(partsTopic+replica.ID()) == 0 {
			out = append(out, replica)
		}
	}
	slices.SortFunc(out, func(a, b *replicas.Replica) int {
		return cmp.Compare(r.node.SortKey(partsTopic+a.ID()), r.node.SortKey(partsTopic+b.ID()))
	})
	if up < alone {
		out = out[:min(len(out), max(askAlone-len(asked), 0))]
	}
	for _, replica := range out {
		asked[replica.Hash()] = true
	}
	return out
}

// models returns the replicas with a model.
func (r *Router) models() []*replicas.Replica {
	doc := r.current.Load()
	if doc == nil {
		return nil
	}
	var out []*replicas.Replica
	r.table.ForEach(func(replica *replicas.Replica) {
		if service, ok := doc.Services[replica.Service()]; ok && service.RunsModel {
			out = append(out, replica)
		}
	})
	return out
}

// askParts learns which parts a replica holds, unless another router has published
// meanwhile.
func (r *Router) askParts(ctx context.Context, replica *replicas.Replica) {
	if r.directory.HoldsAny(replica.Hash()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	parts, err := r.Source.Parts(ctx, replica.Address())
	if err != nil {
		r.Log.Event("parts", "replica", replica.ID(), "error", err)
		return
	}
	var placements []placing.Placement
	for _, part := range parts {
		if part.Tokens < partLeast {
			continue
		}
		p := placing.Placement{Key: part.ID, Replica: replica.Hash()}
		r.directory.Place(p)
		placements = append(placements, p)
	}
	r.publishPlacements(placing.SentToNewHolder, placements...)
	replica.Record(r.clock.Now(), replicas.Good)
	r.node.Broadcast()
	r.Log.Event("parts", "replica", replica.ID(), "parts", len(parts), "large", len(placements))
}
