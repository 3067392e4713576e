// Package callers plays the callers of a fleet in the demo, in tests and under
// load. A Caller sends requests to a model and to plain services and checks
// that each answer is whole and the request's own.
//
// # Usage
//
//	balancer := &callers.Balancer{URLs: func() []string { return urls }}
//	c := &callers.Caller{Balancer: balancer, Key: key, Model: "stylist", Rand: random}
//	result := c.Complete(ctx, callers.Completion{Class: "chat", Messages: messages, Tokens: 40, Stream: true})
//	result = c.Call(ctx, callers.Call{Method: "POST", Path: path, Body: body, Key: key, Want: body})
//
// A Caller is used by one goroutine at a time; a Balancer is shared.
package callers
