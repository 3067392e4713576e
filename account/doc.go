// Package account tells from the logs of routers where requests were lost and to what:
// which were late, refused, failed, cut or left by their clients, by route,
// availability zone, replica or second.
//
// A request is accounted for once, by the router that gave it its final answer. What a
// client would have got elsewhere, or on its next attempt, is not known to a log.
//
// # Usage
//
//	lines, err := eventlog.Read(file, "router-1")
//	requests := account.Requests(lines)
//	rows := account.Tally(requests, account.ByRoute)
//	losses := account.Losses(requests)
package account
