// Package standin holds small servers that take the place of the platform and
// of the endpoints in tests: the key-value service, the list of hosts, the
// weight store, model engines and plain services.
//
// They speak the published protocols over HTTP, take their time from a Clock,
// and have switches for faults. They keep everything in memory.
//
// # Usage
//
// Set the exported fields, then run the server until its context is done:
//
//	listener, err := net.Listen("tcp", "127.0.0.1:0")
//	if err != nil {
//		return err
//	}
//	server := &standin.Store{Listener: listener, Clock: clock}
//	group.Go(func() error { return server.Run(ctx) })
//	server.SetDown(true)
package standin
