package mesh

import "sync/atomic"

// datagramOverhead is the size of the headers around a datagram on the wire, in bytes:
// IPv4 and UDP.
const datagramOverhead = 28

// Traffic counts the messages and wake-ups of a node since its start.
type Traffic struct {
	// Heartbeats is the number of datagrams sent, those without a heartbeat included,
	// HeartbeatBytes their total size with headers.
	Heartbeats, HeartbeatBytes uint64
	// Received is the number of datagrams received, Rounds the number of rounds of heartbeats
	// sent, Checks the number of checks for missing state.
	Received, Rounds, Checks uint64
	// Queries is the number of queries for the holders of a part, Unanswered the number of
	// those that timed out.
	Queries, Unanswered uint64
	// StateBytes is the total size of the responses to fetches, in bytes.
	StateBytes uint64
}

// traffic holds the counters of Traffic.
type traffic struct {
	heartbeats, heartbeatBytes, stateBytes atomic.Uint64
	received, rounds, checks               atomic.Uint64
	queries, unanswered                    atomic.Uint64
}

// countDatagram counts a datagram that was sent.
func (t *traffic) countDatagram(size int) {
	t.heartbeats.Add(1)
	t.heartbeatBytes.Add(uint64(size + datagramOverhead))
}

// countState counts a response to a fetch.
func (t *traffic) countState(size int) { t.stateBytes.Add(uint64(size)) }

// Traffic returns the node's counters. It is safe for concurrent use.
func (n *Node) Traffic() Traffic {
	t := &n.traffic
	return Traffic{
		Heartbeats: t.heartbeats.Load(), HeartbeatBytes: t.heartbeatBytes.Load(), StateBytes: t.stateBytes.Load(),
		Received: t.received.Load(), Rounds: t.rounds.Load(), Checks: t.checks.Load(),
		Queries: t.queries.Load(), Unanswered: t.unanswered.Load(),
	}
}
