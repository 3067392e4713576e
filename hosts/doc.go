// Package hosts is the client of the platform's list of live and leaving
// hosts. The list is read as Prometheus HTTP service discovery: a JSON array of
// target groups with labels.
//
// The list lags behind the hosts' actual state. It says which hosts may exist; whether
// a host answers is determined by its peers.
//
// # Usage
//
//	client := &hosts.Client{
//		URL:      "http://192.0.2.7/hosts",
//		Interval: 2 * time.Second,
//		Changed:  func(list []hosts.Host) { ... },
//	}
//	group.Go(func() error { return client.Run(ctx) })
package hosts
