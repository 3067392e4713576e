package mesh

import "sync/atomic"

// datagramOverhead is the size of the headers around a beat on the wire, in bytes:
// IPv4 and UDP.
const datagramOverhead = 28

// Traffic is what a node has sent to other routers since its start.
type Traffic struct {
	// Beats is the number of beats, BeatBytes their size with headers.
	Beats, BeatBytes uint64
	// StateBytes is the size of the answers to routers that lacked something.
	StateBytes uint64
}

// traffic counts what is sent.
type traffic struct {
	beats, beatBytes, stateBytes atomic.Uint64
}

func (t *traffic) beat(size int) {
	t.beats.Add(1)
	t.beatBytes.Add(uint64(size + datagramOverhead))
}

func (t *traffic) state(size int) { t.stateBytes.Add(uint64(size)) }

// Traffic returns what the node has sent. It is safe for concurrent use.
func (n *Node) Traffic() Traffic {
	return Traffic{Beats: n.traffic.beats.Load(), BeatBytes: n.traffic.beatBytes.Load(), StateBytes: n.traffic.stateBytes.Load()}
}
