package mesh

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/replicas"
)

const (
	// reportPaceScale is the number on the wire for a pace (the slowdown factor of a replica)
	// of 1.
	reportPaceScale = 100
	// maxReportPace bounds the number on the wire, which may be malformed.
	maxReportPace = 100 * reportPaceScale
)

// packPaces encodes the paces of reports in their order; nil if none has a pace. The paces are in
// a field of their own, so that routers that do not know the field skip it.
func packPaces(reports []replicas.Report) []byte {
	var packed []byte
	hasPace := false
	for _, r := range reports {
		n := uint64(0)
		if r.Pace > 0 {
			n = uint64(min(max(math.Round(r.Pace*reportPaceScale), 1), maxReportPace))
			hasPace = true
		}
		packed = protowire.AppendVarint(packed, n)
	}
	if !hasPace {
		return nil
	}
	return packed
}

// unpackPaces sets the paces of the reports, in their order. Reports beyond the encoded paces
// remain without one.
func unpackPaces(raw []byte, reports []replicas.Report) error {
	for i := 0; len(raw) > 0; i++ {
		n, size := protowire.ConsumeVarint(raw)
		if size < 0 {
			return protowire.ParseError(size)
		}
		raw = raw[size:]
		if i < len(reports) {
			reports[i].Pace = float64(min(n, maxReportPace)) / reportPaceScale
		}
	}
	return nil
}
