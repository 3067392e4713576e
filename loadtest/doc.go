// Package loadtest measures a fleet of real router processes under load and
// faults. Stand-in engines and callers count what happened; the routers'
// own counters only give the cost of the control traffic.
//
// # Usage
//
//	test := &loadtest.Test{Scenario: loadtest.Steady, Placement: "bounded", Seed: 1, Duration: 20 * time.Second, Dir: dir}
//	report, err := test.Run(ctx)
//	fmt.Println(report.Line())
//
// # Figures
//
// An admission is the arrival of a request at an engine. It violates the bound
// when the engine's work before it is not below the ceiling of the bound times
// (total + work) / n, over the live engines of the model. The oracle of the
// cache reuse keeps every chat's prefix for ever, so no placement can reuse more.
package loadtest
