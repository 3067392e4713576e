package entry

import (
	"time"

	"peridotusher.example/peridotusher"
)

// buildClaims returns the table of claims of this router.
func (h *Host) buildClaims() *claimTable {
	return &claimTable{
		Self:    peridotusher.RouterID(h.Name),
		Members: h.members.All,
		Store:   h.Store,
		Peers:   h.node,
		Clock:   h.Clock,
		Log:     h.Log,
		Prefix:  h.Prefix,
		Window:  h.claimWindow,
	}
}

// claimWindow returns how long a key is remembered.
func (h *Host) claimWindow() time.Duration {
	doc := h.Document()
	if doc == nil {
		return 0
	}
	return doc.Policy().ClaimWindow()
}
