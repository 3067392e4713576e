// Package answertest tests the guarantees on answers with real router processes:
// calls run at most once, verdicts are true, and streams arrive complete or end
// in an error event. Its files without tests implement the callers and the faults.
//
// # Usage
//
// By default the tests send few requests. The flag -long runs the full number:
//
//	go test ./answertest
//	go test ./answertest -long -timeout 20m
//	go test ./answertest -run TestStoreWrites -measure
//
// Tests with random faults log their seed; -seed sets it.
package answertest
