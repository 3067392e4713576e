package entry

import (
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/engine"
)

// buildClaims creates the claim table and registers the handlers of other
// routers' claim changes and stream takeovers.
func (h *Host) buildClaims() {
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
	h.node.HandleTakeOver(h.streams.detach)
}

// claimWindow returns how long an idempotency key is remembered, or zero before
// the first configuration.
func (h *Host) claimWindow() time.Duration {
	doc := h.Document()
	if doc == nil {
		return 0
	}
	return doc.Policy().ClaimWindow()
}

// countDiscarded counts an engine's stream event that was discarded.
func (h *Host) countDiscarded(reason engine.DiscardReason) {
	h.metrics.RecordDiscarded(string(reason))
}

// retries holds the state that limits retries and hedged calls.
type retries struct {
	budget    peridotusher.RetryBudget
	latencies latencyTable
}
