// Package entry joins the packages of one router into the process that runs
// on an entry host.
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
// When ctx ends, the host tells its peers that it is leaving, takes no new
// requests, ends those in flight and returns.
package entry
