// Package overload decides whether a request is accepted or refused at once. It protects the
// replicas of a service from more requests than they can run, as in a burst, after the loss of
// some replicas, or when an organisation or clients retry without waiting. Accepted requests
// then still run in time, and the others are refused with a time after which to retry.
//
// # Usage
//
//	gate := overload.NewGate(clock)
//	limit := gate.Limit(overload.Request{Priority: 1, Organisation: "shop", Slots: 64, Engine: true})
//	if held < limit {
//		release := gate.Begin("shop")
//		defer release()
//	} else {
//		after := gate.RecordRefusal("chat")
//	}
package overload
