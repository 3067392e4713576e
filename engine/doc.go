// Package engine is the client of the model engines.
//
// An engine answers a chat completion with a stream of server-sent events.
// Each event's id names the stream and the event's offset in it, so a broken
// stream can be resumed on a new connection. Closing a connection does not
// cancel the stream; Cancel does.
//
// # Usage
//
//	client, closeClient, err := engine.New(engine.Options{Clock: clock})
//	defer closeClient()
//	stream, err := client.Chat(ctx, address, engine.Call{Request: request, Body: body})
//	defer stream.Close()
//	for {
//		event, err := stream.Next()
//		if err == io.EOF {
//			break
//		}
//	}
//
// After a Failure of Next, call Chat again with the stream's LastEventID as
// Call.LastEventID.
package engine
