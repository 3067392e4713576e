package mesh

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/replicas"
)

// TestHeartbeatWithoutPaces guards against an incompatible encoding of paces: the field is absent if
// no replica reports a pace, and a router that does not know the field decodes the others.
func TestHeartbeatWithoutPaces(t *testing.T) {
	reports := []replicas.Report{{Replica: 1, Load: 3}, {Replica: 2, Load: 4}}
	fields := func(h Heartbeat) (known []byte, paces int) {
		err := eachField(h.marshal(), func(n protowire.Number, v uint64, raw []byte) error {
			if n == heartbeatPaces {
				paces++
				return nil
			}
			if raw != nil {
				known = appendBytes(known, n, raw)
			} else {
				known = appendNumber(known, n, v)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		return known, paces
	}
	h := Heartbeat{Format: format, Ready: true, Reports: reports}
	if _, n := fields(h); n != 0 {
		t.Errorf("%d fields with paces, want none as no replica reports one", n)
	}
	withPaces := h
	withPaces.Reports = []replicas.Report{{Replica: 1, Load: 3, Pace: 2}, {Replica: 2, Load: 4}}
	known, n := fields(withPaces)
	if n != 1 {
		t.Errorf("%d fields with paces, want one", n)
	}
	var got Heartbeat
	if err := got.unmarshal(known); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(h, got); diff != "" {
		t.Errorf("heartbeat without the field (-want +got):\n%s", diff)
	}
}

// TestMalformedPaces guards against paces that are truncated, too many, too few or too large: reports
// get the paces that were decoded, and surplus ones are ignored.
func TestMalformedPaces(t *testing.T) {
	tests := []struct {
		name  string
		raw   []byte
		want  []float64
		fails bool
	}{
		{"none", nil, []float64{0, 0}, false},
		{"too few", []byte{100}, []float64{1, 0}, false},
		{"too many", []byte{100, 50, 25, 1}, []float64{1, 0.5}, false},
		{"too large", protowire.AppendVarint(nil, 1<<60), []float64{100, 0}, false},
		{"truncated", []byte{100, 0x80}, []float64{1, 0}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reports := make([]replicas.Report, 2)
			if err := unpackPaces(tt.raw, reports); (err != nil) != tt.fails {
				t.Errorf("error = %v", err)
			}
			if diff := cmp.Diff(tt.want, []float64{reports[0].Pace, reports[1].Pace}); diff != "" {
				t.Errorf("paces (-want +got):\n%s", diff)
			}
		})
	}
}
