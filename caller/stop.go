package caller

import (
	"context"
	"net/http"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// stopReserve is the time at the end of a stop that is left for sending the last answers.
	stopReserve = 300 * time.Millisecond
	// stopRetryAfter is when a caller may return whose request a stopping router refuses. The balancer
	// then sends it to another router.
	stopRetryAfter = time.Second
	// idleReuseTime is for how long a connection may be without a request once the listener is closed, counted
	// from its opening or last answer. A request within that time is answered, and the answer announces the end
	// of the connection.
	idleReuseTime = time.Second
)

// beginStop begins a graceful stop: from now on the server refuses requests whose answers may outlast it, and
// shortly before its end it ends the others.
func (s *Server) beginStop() {
	length := s.Settle + s.Drain
	answerTime := max(length-stopReserve, length/2)
	answerBy := s.Clock.Now().Add(answerTime)
	s.answerBy.Store(&answerBy)
	s.stopping.Store(true)
	timer := time.AfterFunc(answerTime, s.endRequests)
	context.AfterFunc(s.requestsEnded, func() { timer.Stop() })
}

// announceStop returns a handler whose answers announce the end of their connections during a stop.
func (s *Server) announceStop(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// checkStop returns a failure if the server is stopping and a request with the deadline may outlast that.
func (s *Server) checkStop(deadline time.Time) error {
	answerBy := s.answerBy.Load()
	if answerBy == nil || !deadline.After(*answerBy) {
		return nil
	}
	f := peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseStopping, "this router is stopping; send the request again")
	return f.WithRetryAfter(stopRetryAfter)
}

// withDeadline bounds the context by the time left until the deadline, and by that for answers during a
// stop.
func (s *Server) withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(s.Clock.Now()))
	if s.requestsEnded == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(s.requestsEnded, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// stoppedFailure returns the failure of a request with the caller's context. A request that the stop
// has ended looks as if its caller had disconnected.
func (s *Server) stoppedFailure(ctx context.Context, err error) error {
	f := peridotusher.AsFailure(err)
	if f.Cause() != peridotusher.CauseCallerDisconnected || ctx.Err() != nil || s.requestsEnded == nil || s.requestsEnded.Err() == nil {
		return err
	}
	return peridotusher.FailWith(f.Verdict(), peridotusher.CauseStopping, err)
}
