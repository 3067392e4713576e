package peer

import (
	"context"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/ratelimit"
)

// KindRates carries the request rates that replicas of plain services have stated.
const KindRates Kind = 21

// The numbers of a statement about a request rate on the wire, which follow each other: the replica,
// the age in milliseconds, and the rate in thousandths of a request a second plus one, or zero for
// the end of a limit.
const (
	rateNumbers = 3
	rateScale   = 1000
)

// maxRateAge bounds the age of a received statement.
const maxRateAge = time.Hour

// HandleRates sets the handler of request rates that other routers publish. It must be called before
// Run.
func (n *Node) HandleRates(merge func(rates []ratelimit.Statement)) {
	n.Handle(KindRates, func(_ context.Context, _ peridotusher.RouterID, body []byte) ([]byte, error) {
		var msg wrapperspb.BytesValue
		if err := proto.Unmarshal(body, &msg); err != nil {
			return nil, err
		}
		rates, err := unmarshalRates(msg.GetValue())
		if err != nil {
			return nil, err
		}
		merge(rates)
		return nil, nil
	})
}

// SendRates broadcasts request rates that replicas have stated.
func (n *Node) SendRates(rates []ratelimit.Statement) error {
	return n.broadcast(KindRates, wrapperspb.Bytes(marshalRates(rates)))
}

func marshalRates(rates []ratelimit.Statement) []byte {
	var out []byte
	for _, s := range rates {
		value := uint64(0)
		if s.Limited {
			value = uint64(math.Round(max(s.Rate, 0)*rateScale)) + 1
		}
		out = protowire.AppendVarint(out, uint64(s.Replica))
		out = protowire.AppendVarint(out, uint64(max(s.Age.Milliseconds(), 0)))
		out = protowire.AppendVarint(out, value)
	}
	return out
}

func unmarshalRates(data []byte) ([]ratelimit.Statement, error) {
	var rates []ratelimit.Statement
	for len(data) > 0 {
		var numbers [rateNumbers]uint64
		for i := range numbers {
			v, size := protowire.ConsumeVarint(data)
			if size < 0 {
				return nil, protowire.ParseError(size)
			}
			numbers[i], data = v, data[size:]
		}
		s := ratelimit.Statement{Replica: uint32(numbers[0]), Age: time.Duration(min(numbers[1], uint64(maxRateAge.Milliseconds()))) * time.Millisecond}
		if value := numbers[2]; value > 0 {
			s.Limited = true
			s.Rate = float64(min(value-1, ratelimit.MaxRate*rateScale)) / rateScale
		}
		rates = append(rates, s)
	}
	return rates, nil
}
