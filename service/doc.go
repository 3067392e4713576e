// Package service is the client of the plain services beside the model
// engines.
//
// A call ends in a whole answer or in a *peridotusher.Failure that says
// whether the call may have run. A call that may not be repeated goes out on a
// connection of its own, so that the HTTP transport has nothing to replay.
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
