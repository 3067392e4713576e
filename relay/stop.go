package relay

import "time"

// StopPolicy defines which requests a stopping router still accepts.
type StopPolicy struct {
	// AcceptAllUntil is the time until which all requests are accepted.
	AcceptAllUntil time.Time
	// AnswerBy is the latest permitted deadline of requests that arrive after AcceptAllUntil.
	AnswerBy time.Time
}

// Accepts reports whether a request that arrives now and has the given deadline is accepted.
func (e *StopPolicy) Accepts(now, deadline time.Time) bool {
	return now.Before(e.AcceptAllUntil) || !deadline.After(e.AnswerBy)
}
