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
	// queryCheckInterval is the interval at which replicas to query are selected.
	queryCheckInterval = 60 * time.Millisecond
	// soloPhase is the time after its start in which a router may know no other routers yet and
	// selects replicas alone. After that the routers divide the replicas among themselves.
	soloPhase = 500 * time.Millisecond
	// maxSoloQueries limits the replicas that a router selects alone.
	maxSoloQueries = 12
	// queryPhase is the time after which the routers have queried all replicas.
	queryPhase = 1500 * time.Millisecond
	// queryTimeout limits a query for the parts of a replica.
	queryTimeout = time.Second
	// maxParallelQueries limits the replicas that are queried at the same time.
	maxParallelQueries = 4
	// maxReplicasToQuery is the number of replicas above which none is queried: publishing all
	// parts to all routers takes longer than processing some again, and prompts are sent to the
	// first replica in their part's order, which holds most parts.
	maxReplicasToQuery = 512
	// minPartTokens is the minimum size in tokens of a part that is taken from a replica's list.
	// Most smaller ones belong to single requests and are not shared, and a small shared one is
	// processed again within milliseconds.
	minPartTokens = 500
	// partsTopic and a replica's id determine the order of the routers that query the replica.
	partsTopic = "parts/"
)

// learnParts queries the replicas for the parts (shared prompt prefixes) that they hold, if no
// other router knows because all have just started. The routers divide the replicas among
// themselves and publish what they learn. The function begins with the first prompt, and ends when
// this router knows the parts or has received them from another one.
func (r *Router) learnParts(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelQueries)
	queried := make(map[uint32]bool)
	routerStart := r.clock.Now()
	r.node.Join(ctx)
	select {
	case <-r.directory.Queried():
	case <-ctx.Done():
	}
	startedAt := r.clock.Now()
	for ctx.Err() == nil && !r.settled.Load() {
		now := r.clock.Now()
		for _, replica := range r.replicasToQuery(now.Sub(routerStart), queried) {
			group.Go(func() error {
				r.queryParts(ctx, replica)
				return nil
			})
		}
		if now.Sub(startedAt) > queryPhase {
			r.settled.Store(true)
		}
		pause.For(ctx, queryCheckInterval)
	}
	return group.Wait()
}

// replicasToQuery returns the replicas that this router has to query now, and marks them: replicas
// with a model that were not queried and of which no parts are known. up is the time since the
// router's start.
func (r *Router) replicasToQuery(up time.Duration, queried map[uint32]bool) []*replicas.Replica {
	models := r.modelReplicas()
	if len(models) > maxReplicasToQuery {
		return nil
	}
	now := r.clock.Now()
	var out []*replicas.Replica
	for _, replica := range models {
		if queried[replica.Hash()] || replica.Unreachable() || r.directory.HoldsAny(replica.Hash()) {
			continue
		}
		if r.table.Evacuated(replica.Zone()) || r.slowStart.Cold(replica, now) {
			continue
		}
		if up < soloPhase || r.node.Rank(partsTopic+replica.ID()) == 0 {
			out = append(out, replica)
		}
	}
	slices.SortFunc(out, func(a, b *replicas.Replica) int {
		return cmp.Compare(r.node.SortKey(partsTopic+a.ID()), r.node.SortKey(partsTopic+b.ID()))
	})
	if up < soloPhase {
		out = out[:min(len(out), max(maxSoloQueries-len(queried), 0))]
	}
	for _, replica := range out {
		queried[replica.Hash()] = true
	}
	return out
}

// modelReplicas returns the replicas with a model.
func (r *Router) modelReplicas() []*replicas.Replica {
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

// queryParts queries the parts that a replica holds, unless another router has published them in
// the meantime.
func (r *Router) queryParts(ctx context.Context, replica *replicas.Replica) {
	if r.directory.HoldsAny(replica.Hash()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	parts, err := r.Source.Parts(ctx, replica.Address())
	if err != nil {
		r.Log.Event("parts", "replica", replica.ID(), "error", err)
		return
	}
	var placements []placing.Placement
	for _, part := range parts {
		if part.Tokens < minPartTokens {
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
