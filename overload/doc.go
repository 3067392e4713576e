// Package overload decides whether a request is taken on or refused at once. It
// answers the load of more requests than the replicas of a service can run: a
// burst, a lost part of the replicas, an organisation or clients that repeat
// without waiting. Requests that are taken then still run in time, and the others
// are told when to come back.
//
// # Usage
//
//	gate := overload.NewGate(clock)
//	limit := gate.Limit(overload.Request{Priority: 1, Organisation: "shop", Slots: 64, Engine: true})
//	if held < limit {
//		release := gate.Take("shop")
//		defer release()
//	} else {
//		after := gate.Refuse("chat")
//	}
package overload
