// Package fleettest tests routers among themselves, as real processes: the
// configuration through zone cuts and outages of the store, edits that race,
// routers that pause or are replaced, and versions that differ.
//
// # Usage
//
// The short part runs with all other tests; the long part and the figures run
// with a flag:
//
//	go test ./fleettest -long -v
package fleettest
