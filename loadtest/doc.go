// Package loadtest measures a fleet of real router processes under load and
// faults. The figures come from the stand-in engines and the callers; the routers'
// own metrics are used only for the cost of the control traffic.
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
// when the engine's work before it is at least ceil(bound * (total + work) / n), where
// work is that of the request, and total and n are the work and the number of the
// model's live engines. Cache reuse is compared with an oracle that keeps every chat's
// prefix forever, so no placement can reuse more.
package loadtest
