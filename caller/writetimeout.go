package caller

import (
	"net/http"
	"time"
)

// writeGrace is the time after the deadline in which the end of an answer can still be
// written.
const writeGrace = time.Second

// limitWriteTime makes writes to the caller fail after the deadline, so that a caller
// that does not read occupies neither the router nor the engine for longer. Until
// then a slow caller slows down the engine's stream, because nothing is read ahead.
// The returned function removes the limit for the connection's next request.
func (s *Server) limitWriteTime(w http.ResponseWriter, deadline time.Time) func() {
	control := http.NewResponseController(w)
	// If the connection supports no deadlines, writing has no time limit.
	_ = control.SetWriteDeadline(deadline.Add(writeGrace))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}
