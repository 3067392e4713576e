// Package faulttest injects faults into a fleet of router processes and checks the
// fleet's guarantees against what callers, endpoints and platform recorded.
//
// An Episode runs one fleet under traffic with one or more faults. Traffic and the
// times of the faults are derived from its seed. The checks read the callers' results
// and the stand-ins' counts, never those of a router.
//
// # Usage
//
//	go test ./faulttest                        # the short tests
//	go test ./faulttest -long -timeout 30m     # each fault alone, then random pairs
//	go test ./faulttest -long -seed 7 -pairs 10 -run TestPairs
//
// In code:
//
//	e := &faulttest.Episode{Binary: binary, Dir: dir, Seed: seed, Faults: faults}
//	violations, err := e.Run(ctx)
package faulttest
