// Package account counts the outcomes of requests from the logs of routers, with the causes
// of those that were late, refused, failed, truncated or abandoned by their clients, by
// route, availability zone, replica or second.
//
// Each request is counted once, from the log of the router that sent the final answer. The
// logs don't show what another router would have answered, nor whether the client retried.
//
// # Usage
//
//	lines, err := eventlog.Read(file, "router-1")
//	requests := account.Requests(lines)
//	rows := account.Tally(requests, account.ByRoute)
//	losses := account.Losses(requests)
package account
