// Package peridotusher holds the decisions of a router fleet in front of model
// engines: which router owns an engine, which engine serves a chat, how much
// work an engine may carry, and what a failed request's verdict is.
//
// The package uses no HTTP, no sockets and no wall clock. Each kind of peer
// that a router talks to has a package of its own for the protocol: caller,
// engine, service, store, hosts, weights, peer and operator. Package entry
// combines them into one router process.
//
// # Terms
//
//   - The ingress is the router that received a request from its caller.
//   - The owner of an engine is the router that grants permits for it and counts
//     them; its deputy is the router that takes over from it.
//   - A permit allows one request to be sent to one engine. An ask is an
//     ingress's request for a permit.
//   - The home engine of a chat is the first engine of the chat's ranking. The
//     owner of the home engine records which engine holds the chat's prefix.
//   - The load bound is the multiple of the mean load beyond which an engine
//     gets no new work.
//
// # Usage
//
// Fill the tables of engines and routers, then look up an engine's owner:
//
//	engines := peridotusher.NewEngines()
//	members := peridotusher.NewMembers(self, clock)
//	owner, ok := members.OwnerOf(engine, zone)
//
// # Lock order
//
// A goroutine that holds several table locks takes them in this order:
// the ingress's tables of held permits and pending asks, Members, Engines, the
// owner's lock for granting permits to queued asks, Queue, Ledger, Placements.
// No lock is held across a call to a peer.
package peridotusher
