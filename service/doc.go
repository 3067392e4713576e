// Package service is the client of the plain services beside the model
// engines.
//
// A call ends in a complete answer or in a *peridotusher.Failure whose verdict
// states whether the call may have run. A call that must not be repeated uses a
// connection of its own, because http.Transport may retry a request on a reused
// connection.
//
// # Usage
//
//	client, closeClient, err := service.New(service.Options{DialTimeout: time.Second})
//	defer closeClient()
//	response, err := client.Call(ctx, address, service.Request{
//		Method: http.MethodPost,
//		Path:   "/profiles/7",
//		Body:   body,
//		Key:    key,
//		Check:  claim.Check,
//	})
package service
