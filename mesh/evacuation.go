package mesh

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/replicas"
)

// The field numbers of the evacuation of an availability zone on the wire.
const (
	evacuationZone protowire.Number = iota + 1
	evacuationActive
	evacuationEpoch
	evacuationRevision
	evacuationAge
)

func marshalEvacuation(e replicas.Evacuation) []byte {
	out := appendBytes(nil, evacuationZone, []byte(e.Zone))
	out = appendFlag(out, evacuationActive, e.Active)
	out = appendNumber(out, evacuationEpoch, uint64(e.Epoch))
	out = appendNumber(out, evacuationRevision, uint64(e.Revision))
	return appendNumber(out, evacuationAge, uint64(e.Age.Milliseconds()))
}

func unmarshalEvacuation(data []byte) (replicas.Evacuation, error) {
	var e replicas.Evacuation
	err := eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case evacuationZone:
			e.Zone = string(raw)
		case evacuationActive:
			e.Active = v != 0
		case evacuationEpoch:
			e.Epoch = int64(v)
		case evacuationRevision:
			e.Revision = int64(v)
		case evacuationAge:
			e.Age = decodeMilliseconds(v)
		}
		return nil
	})
	if err == nil && e.Zone == "" {
		err = errors.New("evacuation without zone")
	}
	return e, err
}

// decodeMilliseconds decodes a duration that another router sent. It clamps the value, since a
// malformed message may contain any number.
func decodeMilliseconds(ms uint64) time.Duration {
	const longest = math.MaxInt64 / uint64(time.Millisecond)
	return time.Duration(min(ms, longest)) * time.Millisecond
}
