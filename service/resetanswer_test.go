package service_test

import (
	"net/http"
	"testing"

	"peridotusher.example/peridotusher/service"
)

// TestResetInsideUploadEndsNoAnswer guards against a part of an answer that looks complete, because the endpoint reset the
// connection while a long body was being written and the write received the error.
func TestResetInsideUploadEndsNoAnswer(t *testing.T) {
	const calls = 60
	address := serveReset(t, "HTTP/1.1 200 OK\r\n\r\nwaist", true)
	for _, idempotent := range []bool{false, true} {
		whole := 0
		client := newClient(t, service.Options{})
		for range calls {
			upload := service.Request{Method: http.MethodPost, Path: "/profiles/7", Body: make([]byte, 3<<20), Idempotent: idempotent}
			if _, err := client.Call(testContext(t), address, upload); err == nil {
				whole++
			}
		}
		if whole > 0 {
			t.Errorf("idempotent %v: %d of %d answers that were broken off look complete", idempotent, whole, calls)
		}
	}
}
