package relay

import "time"

// stopAnswerReserve is the time at the end of a stop that is left for sending the last answers, also
// those that a request's deadline ends.
const stopAnswerReserve = 300 * time.Millisecond

// StopPolicy defines which requests a stopping router still accepts.
type StopPolicy struct {
	// AcceptAllUntil is the time until which all requests are accepted.
	AcceptAllUntil time.Time
	// AnswerBy is the end of the stop. Requests that arrive after AcceptAllUntil are accepted if
	// their deadlines leave stopAnswerReserve until then.
	AnswerBy time.Time
}

// Accepts reports whether a request that arrives now and has the given deadline is accepted.
func (e *StopPolicy) Accepts(now, deadline time.Time) bool {
	return now.Before(e.AcceptAllUntil) || !deadline.After(e.AnswerBy.Add(-stopAnswerReserve))
}
