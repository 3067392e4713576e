package mesh

import (
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/ratelimit"
)

const (
	// rateScale is the number on the wire for a rate of one request a second.
	rateScale = 1000
	// maxLimitsPerDatagram keeps a datagram with request rates below the usual size of a packet.
	maxLimitsPerDatagram = 48
)

// The field numbers of a statement about a request rate on the wire.
const (
	limitReplica protowire.Number = iota + 1
	limitAge
	limitRate
	limitActive
)

// PublishLimits sends the request rates that this router has just learned to a few random routers,
// which forward what is new to them.
func (n *Node) PublishLimits(limits []ratelimit.Statement) {
	if len(limits) == 0 {
		return
	}
	peers := n.forwardTargets()
	for chunk := range slices.Chunk(limits, maxLimitsPerDatagram) {
		n.sendChanges(peers, appendLimits(nil, changeLimit, chunk))
	}
}

// appendLimits appends statements about request rates as fields with a number.
func appendLimits(out []byte, n protowire.Number, limits []ratelimit.Statement) []byte {
	for _, s := range limits {
		body := appendNumber(nil, limitReplica, uint64(s.Replica))
		body = appendAge(body, limitAge, s.Age)
		body = appendFlag(body, limitActive, s.Limited)
		body = appendNumber(body, limitRate, uint64(math.Round(max(s.Rate, 0)*rateScale)))
		out = appendBytes(out, n, body)
	}
	return out
}

func unmarshalLimit(data []byte) (ratelimit.Statement, error) {
	var s ratelimit.Statement
	err := eachField(data, func(n protowire.Number, v uint64, _ []byte) error {
		switch n {
		case limitReplica:
			s.Replica = uint32(v)
		case limitAge:
			s.Age = decodeMilliseconds(v)
		case limitRate:
			s.Rate = float64(min(v, ratelimit.MaxRate*rateScale)) / rateScale
		case limitActive:
			s.Limited = v != 0
		}
		return nil
	})
	return s, err
}
