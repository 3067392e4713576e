// Package faulttest runs a fleet of router processes through faults and checks
// the fleet's promises by what callers, endpoints and platform saw.
//
// An Episode is one fleet under traffic with one or more faults. It has a
// seed, from which traffic and the times of the faults are drawn. The checks
// read the callers' results and the stand-ins' counts, never a router's.
//
// # Usage
//
//	go test ./faulttest                        # a short part
//	go test ./faulttest -long -timeout 30m     # every fault alone, then pairs
//	go test ./faulttest -long -seed 7 -pairs 10 -run TestPairs
//
// In code:
//
//	e := &faulttest.Episode{Binary: binary, Dir: dir, Seed: seed, Faults: faults}
//	broken, err := e.Run(ctx)
package faulttest
