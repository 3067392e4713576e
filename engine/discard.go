package engine

// Discarded says why an event of a stream was discarded.
type Discarded string

// The reasons.
const (
	// Crossed means that the event belongs to another stream.
	Crossed Discarded = "crossed"
	// Repeated means that the event, or a later one, has come before.
	Repeated Discarded = "repeated"
	// Early means that events before it are missing.
	Early Discarded = "early"
)

// discard counts a discarded event.
func (c *Client) discard(reason Discarded) {
	if c.opts.Discarded != nil {
		c.opts.Discarded(reason)
	}
}
