// Package peer connects a router with the other routers of the fleet.
//
// Two routers share one TCP connection, multiplexed by yamux into two streams
// that stay open as long as the session. One carries requests for permits and
// their release, the other everything else, so that a large message does not
// delay a permit. Each message is a length-prefixed Envelope. The kind of a
// message selects its handler; other packages register kinds with Node.Handle.
//
// Before the session starts, both sides exchange a Hello with the identity of
// the router's process and its protocol versions, so heartbeats need not repeat
// them.
//
// If two routers dial each other, both keep the session dialled by the smaller ID.
// The other one, like a session that is idle, is drained: no call starts on it,
// and it ends once the calls of both sides are answered. A message without a reply
// that is still queued then is lost.
//
// # Usage
//
// Set the fields of a Node, run it in a group, and call other routers:
//
//	node := &peer.Node{
//		Self:     self,
//		Listener: listener,
//		Members:  members,
//		Permits:  ledger,
//	}
//	group.Go(func() error { return node.Run(ctx) })
//	answer, err := node.Ask(ctx, owner, ask)
//
// A call to a router without a session fails at once with a *ConnectionError, so that
// the caller can ask the deputy instead. The exception is a router of another
// zone in a large fleet, where only few routers are linked: the call dials it
// and waits for the session.
package peer
