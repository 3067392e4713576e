// Package peer connects a router with the other routers of the fleet.
//
// Two routers share one TCP connection with a yamux session. The session holds
// two streams for its whole life: one carries asks for permits and their
// returns, the other everything else, so that a large message does not delay a
// permit. Each message is an Envelope with a length before it. A message's kind
// selects its handler; packages add kinds of their own with Node.Handle.
//
// Before the session, both sides exchange a Hello. It names the router's
// process and its protocol versions, so a heartbeat need not repeat them.
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
// A call to a router without a session fails at once with a *LinkError, so the
// caller can turn to the deputy.
package peer
