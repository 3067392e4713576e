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
// A block ends some time after the latest crash. If the next request with the part crashes a
// replica again, it is blocked at once and for longer; if a replica answers it, the part is sound.
//
// Routers tell each other the crashes and which suspected parts are sound. Nothing is stored, and
// the memory is bounded.
//
// # Usage
//
//	table := quarantine.NewTable(clock)
//	news := table.RecordCrash(replica.Hash(), sentAt, parts)
//	publish(news)                   // to other routers, which call Merge
//	left, blocked := table.Blocked(parts)
package quarantine
