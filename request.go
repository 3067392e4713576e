package peridotusher

import "time"

// Request describes one caller's request to a model, as far as decisions need it.
type Request struct {
	ID           RequestID
	Chat         ChatKey // empty when the request belongs to no chat
	Organisation string
	Model        string
	Version      string // version of the model, empty for any
	Class        string
	Work         int // expected outstanding work, in work units
	Deadline     time.Time
}
