// Package edge joins the parts of a router that runs on a platform with a store
// of its own: it keeps the configuration and the list of replicas current, from
// the store and from the other routers, and runs the front for clients, the
// readiness answer and the graceful stop.
//
// # Usage
//
//	cfg, problems := edge.Load(path)
//	router := &edge.Router{Settings: cfg, Source: source, Decode: decode, Dialect: dialect, Log: log}
//	err := router.Run(ctx)
package edge
