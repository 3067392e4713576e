// Package testbed runs router processes against stand-ins for the platform and the
// endpoints, with a fault proxy on every link between zones or to the platform. It is
// used by integration tests and the load tool.
//
// # Usage
//
//	binary, err := testbed.Build(ctx, dir)
//	bed, stop, err := testbed.Start(ctx, testbed.Options{Binary: binary, Dir: dir})
//	defer stop()
//	bed.Routers[0].Kill()
//	bed.CutZone("a")
package testbed
