// Package mesh is the gossip protocol between the routers of a fleet. Routers exchange the
// number of requests that each has at every replica, the changes of replicas and the
// version of the configuration, so that a router that cannot reach the store still
// receives all updates.
//
// Heartbeats are datagrams and carry state, not changes, so that the loss of one does no harm.
// A router that learns of a newer version of the configuration, or whose table of replicas
// differs from the others' for long, fetches the missing state from another router over a
// yamux session. Changes of
// replicas are also forwarded at once, in datagrams of their own.
//
// In a large fleet heartbeats would carry a placement to most routers too late. Placements
// concern parts: prompt prefixes that several requests share and that replicas cache. Each
// part has index owners, the first routers of its rendezvous order. Other routers query
// them for the part's holders, the replicas that have it cached, and report new holders to
// them, in datagrams of their own.
//
// # Usage
//
//	node := &mesh.Node{Self: self, State: state, Clock: clock, Log: log}
//	node.Init()
//	node.SetSeeds(addresses)
//	err := node.Run(ctx, datagrams, listener)
package mesh
