package edge

import (
	"context"

	"peridotusher.example/peridotusher/placing"
)

// queryHolders returns the holders of a part as a router knows them that keeps track of it,
// if the fleet is so large that they are not published to all.
func (r *Router) queryHolders(ctx context.Context, key uint64) []placing.CacheHolder {
	if !r.directory.Indexed() {
		return nil
	}
	return r.node.CacheHolders(ctx, key)
}

// publishPlacements publishes placements to the routers that track the parts, if others ask
// them.
func (r *Router) publishPlacements(use placing.Event, placements ...placing.Placement) {
	if r.directory.Indexed() {
		r.node.PublishPlacements(use, placements)
	}
}
