package edge

import (
	"context"

	"peridotusher.example/peridotusher/placing"
)

// inquire returns the holders of a part as a router knows them that keeps track of it,
// if the fleet is so large that they are not told to all.
func (r *Router) inquire(ctx context.Context, key uint64) []placing.Lent {
	if !r.directory.Asked() {
		return nil
	}
	return r.node.Holders(ctx, key)
}

// placed tells the routers that keep track of the parts, if others ask them.
func (r *Router) placed(use placing.Use, placements ...placing.Placement) {
	if r.directory.Asked() {
		r.node.Placed(use, placements)
	}
}
