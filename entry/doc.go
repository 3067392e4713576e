// Package entry assembles the router process that runs on an entry host from
// the other packages.
//
// # Usage
//
//	host := &entry.Host{
//		Name:     "router-a1",
//		Zone:     "a",
//		Caller:   callerListener,
//		Operator: operatorListener,
//		Peer:     peerListener,
//		Store:    storeClient,
//		HostsURL: "http://192.0.2.7/hosts",
//	}
//	err := host.Run(ctx)
//
// When ctx ends, the host announces to its peers that it is leaving, accepts no
// new requests, finishes those in flight and returns.
package entry
