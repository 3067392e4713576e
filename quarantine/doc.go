// Package quarantine learns which parts of prompts crash replicas, and tells which requests
// must not be sent because of that.
//
// A request is suspected of a crash if its replica ended before it had sent anything of the
// answer. The requests at a replica end together, so one crash has suspects that are sound. A part
// is blamed after several crashes, each of which hit a request with it that was sent after the
// crash before, while no replica has begun to answer a request with it since. What all its
// crashes have in common beside the part may as well be the cause, so only requests that contain
// all of it are blocked: they certainly contain the cause, and every other request shows which
// part it is.
//
// Some time after the latest crash one request is sent on trial. If it crashes its replica, the
// block is renewed and lasts longer; if a replica begins to answer it, the part is sound.
//
// Routers tell each other the crashes and which suspected parts are sound. Nothing is stored, and
// the memory is bounded.
//
// # Usage
//
//	table := quarantine.NewTable(clock)
//	news := table.RecordCrash(replica.Hash(), sentAt, parts)
//	publish(news)                   // to other routers, which call Merge
//	left, ok := table.Admit(parts)  // for each request that arrives
//	left, blocked := table.Blocked(parts) // before it is sent once more
package quarantine
