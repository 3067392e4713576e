// Package soak measures what a router process spends: processor time and
// memory of streamed answers, the delay that it adds to them, and whether its
// memory, goroutines and descriptors grow under traffic.
//
// # Usage
//
//	go test ./soak                                          # short
//	go test ./soak -long -minutes 4 -run TestSoak -v        # a day's turnover in minutes
//	go test ./soak -long -run TestStreamCost -v             # processor time, memory, added delay
//
// Process figures come from the operating system and from the router's own
// /metrics; delays are taken by the callers.
package soak
