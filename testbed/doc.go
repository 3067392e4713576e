// Package testbed runs router processes between stand-ins of the platform and
// the endpoints, with a fault proxy on every link that leaves a zone or goes
// to the platform. It serves integration tests and the load tool.
//
// # Usage
//
//	binary, err := testbed.Build(ctx, dir)
//	bed, stop, err := testbed.Start(ctx, testbed.Options{Binary: binary, Dir: dir})
//	defer stop()
//	bed.Routers[0].Kill()
//	bed.CutZone("a")
package testbed
