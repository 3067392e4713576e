// Package answertest tests the promises on answers with real router processes:
// calls run at most once, verdicts are true, and streams arrive whole or end
// in an error event. Its files without tests are the callers and the faults.
//
// # Usage
//
// The short part runs with the other tests. The whole runs with the flag -long:
//
//	go test ./answertest
//	go test ./answertest -long -timeout 20m
//	go test ./answertest -run TestStoreWrites -measure
//
// Each test prints its seed; -seed sets it.
package answertest
