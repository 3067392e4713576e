// Package slowstart limits the requests that a router sends to cold replicas, which have
// started a short time ago and can handle few requests yet.
//
// A cold replica may receive at most a bound of requests in any second from all routers
// together, also while the fleet is partitioned. The routers exchange no messages for this. All
// compute the same order of the routers for a replica and divide half of the bound among
// themselves in that order, in shares of one request in a little more than a second. As they
// use half of the bound, two partitions of the fleet that both do so stay within it.
//
// # Usage
//
//	limiter := &slowstart.Limiter{Bound: bound, Share: node.SharePosition}
//	if sent, ok := limiter.Acquire(replica, clock.Now()); ok {
//		// write the request
//		sent(clock.Now())
//	}
package slowstart
