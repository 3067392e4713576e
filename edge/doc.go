// Package edge combines the components of a router that runs on a platform with
// its own store. It keeps the configuration and the list of replicas current, from
// the store and from the other routers, and runs the reverse proxy for clients,
// the readiness check and the graceful stop.
//
// # Usage
//
//	cfg, problems := edge.Load(path)
//	router := &edge.Router{Settings: cfg, Source: source, Decode: decode, Dialect: dialect, Log: log}
//	err := router.Run(ctx)
package edge
