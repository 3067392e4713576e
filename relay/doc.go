// Package relay forwards HTTP/1.1 requests of clients to the replicas of their route's service.
//
// It guarantees the following. A request that is not idempotent reaches at most one replica. An
// answer is forwarded only if it belongs to the request; it is either complete or visibly
// truncated. An answer of the router's own with status 503 or 408 means that the request has not
// run. What a replica sends is bounded in bytes and, as long as nothing of it has been forwarded,
// in time. Bytes that clients do not read at once are buffered, up to a limit for all clients
// together; beyond it, answers are visibly aborted. A Dialect reads and writes the platform's
// headers, so that this package knows none of their names.
//
// # Usage
//
//	proxy := &relay.Proxy{Current: current, Table: table, Dialect: dialect, RetryBudget: b, ...}
//	err := proxy.Run(ctx, listener, grace) // grace returns the time left once ctx ends
//
// Call proxy.Stop before ctx ends to announce the stop to clients.
package relay
