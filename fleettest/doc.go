// Package fleettest tests how router processes work together: that configuration reaches
// them despite isolated zones and store outages, concurrent edits, paused and replaced
// routers, and mixed protocol versions.
//
// # Usage
//
// The short tests always run; the long tests and the measurements need a flag:
//
//	go test ./fleettest -long -v
package fleettest
