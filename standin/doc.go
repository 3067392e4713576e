// Package standin implements in-process test servers for the platform and the
// endpoints: the key-value service, the list of hosts, the weight store, model
// engines and plain services.
//
// They speak the published protocols over HTTP, read the time from a Clock, keep
// all state in memory and can inject faults.
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
