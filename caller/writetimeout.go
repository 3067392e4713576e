package caller

import (
	"net/http"
	"time"
)

// writeGrace is the time after the deadline in which a caller can still take
// the end of its answer.
const writeGrace = time.Second

// boundWrites ends the writes to a caller that does not read, so that it holds
// neither the router nor the engine for longer than its deadline. Until then
// the caller's pace is the engine's: nothing is read ahead. The function that
// it returns lifts the bound for the connection's next request.
func (s *Server) boundWrites(w http.ResponseWriter, deadline time.Time) func() {
	control := http.NewResponseController(w)
	// A connection without deadlines writes without a time limit.
	_ = control.SetWriteDeadline(deadline.Add(writeGrace))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}
