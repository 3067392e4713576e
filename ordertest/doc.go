// Package ordertest tests orders to engines, rollouts and leaving engines with
// real router processes.
//
// # Usage
//
//	go test ./ordertest
//	go test ./ordertest -long
//
// The flag -long runs the slower cases and the measurements too.
package ordertest
