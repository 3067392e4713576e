package relay

import "time"

// Ending defines which requests a stopping router still accepts.
type Ending struct {
	// AllUntil is the time until which all requests are accepted.
	AllUntil time.Time
	// By is the latest permitted deadline of requests that arrive after AllUntil.
	By time.Time
}

// Takes reports whether a request that arrives now and has the given deadline is accepted.
func (e *Ending) Takes(now, deadline time.Time) bool {
	return now.Before(e.AllUntil) || !deadline.After(e.By)
}
