// Package ratelimit keeps to the request rates that replicas state. A replica in need states in
// its answers how many requests a second it accepts from all routers together, for as long as it
// states so.
//
// The routers tell each other the latest statement of each replica, with its age, so that all of
// them know a limit that one has received, and its end. A statement belongs to one start of a
// replica. Nothing is stored: a router that has started learns the limits from the others, or from
// the first answers.
//
// A rate is divided without further messages: all routers compute the same order of the routers
// for a replica, and the first ones have equal shares, as many as leave each share a usable rate. A
// share is a token bucket. A replica whose limit is close to zero still gets a request now and then,
// since only its answers show that the limit has ended.
//
// # Usage
//
//	table := ratelimit.NewTable(clock)
//	limiter := &ratelimit.Limiter{Table: table, Clock: clock, Share: node.SharePosition}
//	if limiter.Take(replica) {
//		// send the request
//	}
//	publish(table.Record(answer)) // to other routers, which call Merge
package ratelimit
