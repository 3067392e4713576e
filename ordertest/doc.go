// Package ordertest tests orders to engines, rollouts and leaving engines with
// real router processes.
//
// # Usage
//
//	go test ./ordertest
//	go test ./ordertest -long
//
// The flag -long also runs the slow tests and the measurements.
package ordertest
