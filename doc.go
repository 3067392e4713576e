// Package peridotusher holds the decisions of a router fleet for returning
// chats: who owns an engine, which engine a chat goes to, how much work an
// engine may carry, and what a failed request's verdict is.
//
// The package knows no HTTP, no sockets and no wall clock. Every peer of a
// router has a package of its own that speaks the wire: caller, engine,
// service, store, hosts, weights, peer and operator. Package entry joins them
// into one router process.
//
// # Usage
//
// Fill the tables, then ask for a ranking and a permit:
//
//	engines := peridotusher.NewEngines()
//	members := peridotusher.NewMembers(self, clock)
//	owner, ok := members.OwnerOf(engine, zone)
//
// # Lock order
//
// A goroutine that holds several table locks takes them in this order:
// the ingress's tables of held permits and waiting asks, Members, Engines, the
// owner's lock for giving permits to waiting asks, Queue, Ledger, Placements. No
// lock is held across a call to a peer.
package peridotusher
