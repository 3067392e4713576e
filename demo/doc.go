// Package demo runs the whole path in one process on loopback: three
// availability zones with routers, stand-in engines and services, the
// platform's stand-ins, and callers that check every answer.
//
// # Usage
//
//	d := &demo.Demo{Out: os.Stdout, Seed: 1}
//	err := d.Run(ctx)
//
// The closing table is counted by the stand-ins and the callers, not by the
// routers.
package demo
