// Command rig plays the cases of the second review: router processes, started with the command of the
// deploy file, between stand-ins for the platform's store, replicas and clients. Everything listens on
// loopback addresses. The stand-ins do what the users' pages say and no more.
//
// # Usage
//
//	rig CASE --router target/peridotusher --record record.txt
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in
// the environment the case runs without its disruption.
package main
