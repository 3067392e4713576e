package engine

// Discarded is the reason why an event of a stream was discarded.
type Discarded string

// The reasons for discarding an event.
const (
	// DiscardOtherStream means that the event belongs to another stream.
	DiscardOtherStream Discarded = "crossed"
	// DiscardRepeated means that the event, or a later one, was already received.
	DiscardRepeated Discarded = "repeated"
	// DiscardEarly means that events before it are missing.
	DiscardEarly Discarded = "early"
)

// discard reports a discarded event to Options.Discarded.
func (c *Client) discard(reason Discarded) {
	if c.opts.Discarded != nil {
		c.opts.Discarded(reason)
	}
}
