// Package admission shares the capacity of a plain service among all routers of the
// fleet. For each service one router is the coordinator: it tracks the load of every replica
// of the service, grants requests a slot at one of them, queues the requests that can still
// be answered in time, and refuses the others with a retry-after time. An answer is in time
// if it arrives within the latency target of its request.
//
// It is built for services that get more requests than they can run, unevenly spread over
// routers, organisations and replicas. All state is kept in memory only: it is lost with the
// coordinator, and the next coordinator starts with the loads that replicas report.
package admission
