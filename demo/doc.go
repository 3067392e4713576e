// Package demo runs a complete fleet in one process on loopback: three availability zones with
// routers, simulated engines and services, a simulated platform, and clients that check every
// answer.
//
// # Usage
//
//	d := &demo.Demo{Out: os.Stdout, Seed: 1}
//	err := d.Run(ctx)
//
// The summary is counted by the simulated endpoints and the clients, independently of the
// routers.
package demo
