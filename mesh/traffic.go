package mesh

import "sync/atomic"

// datagramOverhead is the size of the headers around a beat on the wire, in bytes:
// IPv4 and UDP.
const datagramOverhead = 28

// Traffic is what a node has sent to other routers since its start, and how often it
// woke up for that.
type Traffic struct {
	// Beats is the number of beats, BeatBytes their size with headers.
	Beats, BeatBytes uint64
	// Heard is the number of beats of other routers, Rounds that of own rounds, Looks
	// how often was looked at what others know and this router lacks.
	Heard, Rounds, Looks uint64
	// Asked is the number of questions for the holders of a part, Unanswered that of
	// those to which no answer came in time.
	Asked, Unanswered uint64
	// StateBytes is the size of the answers to routers that lacked something.
	StateBytes uint64
}

// traffic counts what is sent.
type traffic struct {
	beats, beatBytes, stateBytes atomic.Uint64
	heard, rounds, looks         atomic.Uint64
	asked, unanswered            atomic.Uint64
}

func (t *traffic) beat(size int) {
	t.beats.Add(1)
	t.beatBytes.Add(uint64(size + datagramOverhead))
}

func (t *traffic) state(size int) { t.stateBytes.Add(uint64(size)) }

// Traffic returns what the node has sent and how often it woke up for it. It is safe
// for concurrent use.
func (n *Node) Traffic() Traffic {
	t := &n.traffic
	return Traffic{
		Beats: t.beats.Load(), BeatBytes: t.beatBytes.Load(), StateBytes: t.stateBytes.Load(),
		Heard: t.heard.Load(), Rounds: t.rounds.Load(), Looks: t.looks.Load(),
		Asked: t.asked.Load(), Unanswered: t.unanswered.Load(),
	}
}
