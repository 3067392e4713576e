// Package operator serves the operators of the fleet on an address of its own.
//
// # Usage
//
//	metrics := operator.NewMetrics()
//	server := &operator.Server{Listener: listener, Metrics: metrics}
//	err := server.Run(ctx)
//
// Routes: GET /metrics in the usual exposition format.
package operator
