// Package operator serves the operators of the fleet on an address of its own,
// and is the client that the command line uses.
//
// # Usage
//
//	metrics := operator.NewMetrics(clock)
//	server := &operator.Server{Listener: listener, Metrics: metrics, KeyHash: hash}
//	err := server.Run(ctx)
//
// Routes:
//
//	GET  /metrics                    the usual exposition format, without a key
//	GET  /v1/routers                 every router with its address for operators
//	GET  /v1/status                  what this router knows
//	GET  /v1/burn                    this router's service-level counts
//	GET  /v1/explain?org=&model=&chat=&class=
//	POST /v1/drain                   stop this router gracefully
//	POST /v1/engines/{engine}/drain  give an engine no new work
//	GET  /report                     the fleet's report as one page
//	GET  /debug/pprof/               profiles of the process
//
// All but /metrics need the operators' key as Authorization: Bearer KEY. A
// Client asks one router for the others and gathers their answers.
package operator
