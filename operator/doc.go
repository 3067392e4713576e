// Package operator contains the HTTP API for the operators of the fleet, which each router
// serves on a separate address, and the client for it that the command line uses.
//
// # Usage
//
//	metrics := operator.NewMetrics(clock)
//	server := &operator.Server{Listener: listener, Metrics: metrics, KeyHash: hash}
//	err := server.Run(ctx)
//
// Routes:
//
//	GET  /metrics                    Prometheus text format, without a key
//	GET  /v1/routers                 every router with its operator address
//	GET  /v1/status                  this router's view of members and engines
//	GET  /v1/burn                    this router's service-level counts
//	GET  /v1/explain?org=&model=&chat=&class=  where a chat is routed, and why
//	POST /v1/drain                   shut this router down gracefully
//	POST /v1/engines/{engine}/drain  send an engine no new work
//	GET  /report                     the fleet's burn-rate report as an HTML page
//	GET  /debug/pprof/               profiles of the process
//
// All but /metrics require the operators' key, as Authorization: Bearer KEY or as the
// password of basic authentication. A Client gets the list of routers from one of them,
// queries each and combines the answers.
package operator
