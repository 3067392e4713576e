// Package callers simulates the clients of a fleet in the demo, in tests and in
// load tests. A Caller sends requests to a model and to plain services and checks
// that each answer is complete and holds no text of another request.
//
// # Usage
//
//	balancer := &callers.Balancer{URLs: func() []string { return urls }}
//	c := &callers.Caller{Balancer: balancer, Key: key, Model: "stylist", Rand: random}
//	result := c.Complete(ctx, callers.Completion{Class: "chat", Messages: messages, Tokens: 40, Stream: true})
//	result = c.Call(ctx, callers.Call{Method: "POST", Path: path, Body: body, Key: key, Want: body})
//
//	err := callers.Crowd{Size: 500, Start: "GET / HTTP/1.1\r\n"}.Run(ctx, address)
//
// A Crowd is clients that do not behave, which occupy a server. A Caller is used by one goroutine at a time; a Balancer is shared.
package callers
