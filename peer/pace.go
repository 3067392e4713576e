package peer

import (
	"time"
)

const (
	// heartbeatShare is the part of the budget that heartbeats may take.
	heartbeatShare = 0.5
	// maxStretch bounds how much rarer heartbeats become to keep to the budget.
	maxStretch = 16
)

// stretch returns how many ticks lie between two heartbeats, so that those to
// all sessions together keep to their share of the budget.
func (n *Node) stretch(sessions, size int) int {
	if n.Budget == 0 {
		return 1
	}
	share := heartbeatShare * float64(n.Budget) * n.Heartbeat.Seconds()
	ticks := 1 + int(float64(sessions*(size+frameBytes))/share)
	return min(ticks, maxStretch)
}

// patience returns the silence after which a router is suspect. It grows with
// the longest interval of heartbeats that this router or a peer keeps.
func (n *Node) patience(own int) time.Duration {
	longest := time.Duration(own) * n.Heartbeat
	for _, s := range n.sessions.all() {
		longest = max(longest, s.announced())
	}
	longest = min(longest, maxStretch*n.Heartbeat)
	return time.Duration(float64(n.Timeout) * float64(longest) / float64(n.Heartbeat))
}
