package entry

import (
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/engine"
)

// buildAnswers joins the claims and the streams to the peers.
func (h *Host) buildAnswers() {
	h.claims = &claimTable{
		Self:    peridotusher.RouterID(h.Name),
		Members: h.members.All,
		Store:   h.Store,
		Peers:   h.node,
		Clock:   h.Clock,
		Log:     h.Log,
		Prefix:  h.Prefix,
		Window:  h.claimWindow,
	}
	h.node.HandleClaims(h.claims)
	h.node.HandleTakeOver(h.streams.giveUp)
}

// claimWindow returns how long a key is remembered.
func (h *Host) claimWindow() time.Duration {
	doc := h.Document()
	if doc == nil {
		return 0
	}
	return doc.Policy().ClaimWindow()
}

// countDiscarded counts an event that an engine sent out of place.
func (h *Host) countDiscarded(reason engine.Discarded) {
	h.metrics.Discarded(string(reason))
}

// retries holds what bounds the repetition of calls.
type retries struct {
	budget    peridotusher.RetryBudget
	latencies latencyTable
}
