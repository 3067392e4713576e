// Package soak measures the resources of a router process: the CPU time and
// memory of streamed answers, the delay that it adds to them, and whether its
// memory, goroutines and file descriptors grow under sustained traffic.
//
// # Usage
//
//	go test ./soak                                          # short
//	go test ./soak -long -minutes 4 -run TestSoak -v        # a day's turnover in minutes
//	go test ./soak -long -run TestStreamCost -v             # CPU time, memory, added delay
//
// Process figures come from the operating system and from the router's own
// /metrics; the callers measure the delays.
package soak
