package relay

import "time"

// Ending says which requests a stopping router takes.
type Ending struct {
	// AllUntil is when it ceases to take every request.
	AllUntil time.Time
	// By is when requests that it takes later must be answered.
	By time.Time
}

// Takes reports whether a request is run that came now and has to be answered by its
// deadline.
func (e *Ending) Takes(now, deadline time.Time) bool {
	return now.Before(e.AllUntil) || !deadline.After(e.By)
}
