package edge

import (
	"context"

	"peridotusher.example/peridotusher/placing"
)

// queryHolders returns the holders of a part (shared prompt prefix) as recorded by its index
// owners, or nil in a fleet so small that holders are published to all routers.
func (r *Router) queryHolders(ctx context.Context, key uint64) []placing.CacheHolder {
	if !r.directory.Indexed() {
		return nil
	}
	return r.node.CacheHolders(ctx, key)
}

// publishPlacements publishes placements to the index owners of the parts, if the fleet is so
// large that routers query them.
func (r *Router) publishPlacements(use placing.Event, placements ...placing.Placement) {
	if r.directory.Indexed() {
		r.node.PublishPlacements(use, placements)
	}
}
