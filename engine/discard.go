package engine

// DiscardReason is the reason why an event of a stream was discarded.
type DiscardReason string

// The reasons for discarding an event.
const (
	// DiscardOtherStream means that the event belongs to another stream.
	DiscardOtherStream DiscardReason = "crossed"
	// DiscardRepeated means that the event, or a later one, was already received.
	DiscardRepeated DiscardReason = "repeated"
	// DiscardEarly means that events before it are missing.
	DiscardEarly DiscardReason = "early"
)

// discard reports a discarded event to Options.Discarded.
func (c *Client) discard(reason DiscardReason) {
	if c.opts.Discarded != nil {
		c.opts.Discarded(reason)
	}
}
