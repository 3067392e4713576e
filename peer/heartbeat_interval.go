package peer

import (
	"time"
)

const (
	// heartbeatShare is the share of the byte budget that heartbeats may use.
	heartbeatShare = 0.5
	// maxHeartbeatTicks limits the ticks from one heartbeat to the next. At the
	// limit, heartbeats may exceed their share.
	maxHeartbeatTicks = 16
)

// heartbeatTicks returns the interval of heartbeats in ticks at which those to
// all sessions together stay within their share of the byte budget.
func (n *Node) heartbeatTicks(sessions, size int) int {
	if n.BytesPerSecond == 0 {
		return 1
	}
	share := heartbeatShare * float64(n.BytesPerSecond) * n.HeartbeatInterval.Seconds()
	ticks := 1 + int(float64(sessions*(size+muxOverheadBytes))/share)
	return min(ticks, maxHeartbeatTicks)
}

// scaledSuspectTimeout returns the silence after which a router becomes suspect:
// SuspectTimeout times the longest interval of heartbeats, in ticks, of this router
// or of any peer. The factor is at most maxHeartbeatTicks.
func (n *Node) scaledSuspectTimeout(ownTicks int) time.Duration {
	longest := time.Duration(ownTicks) * n.HeartbeatInterval
	for _, s := range n.sessions.all() {
		longest = max(longest, s.peerInterval())
	}
	longest = min(longest, maxHeartbeatTicks*n.HeartbeatInterval)
	return time.Duration(float64(n.SuspectTimeout) * float64(longest) / float64(n.HeartbeatInterval))
}
