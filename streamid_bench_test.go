package peridotusher_test

import (
	"testing"

	"peridotusher.example/peridotusher"
)

// BenchmarkEventID measures signing the event IDs of one stream.
func BenchmarkEventID(b *testing.B) {
	b.ReportAllocs()
	signer := peridotusher.NewEventSigner("secret")
	pos := peridotusher.StreamPosition{Engine: "engine-a-1", Stream: "stream-1", Organisation: "shop", Request: "request-1", Router: "router-a-1", Permit: "permit-1"}
	for n := range b.N {
		pos.Offset = n
		signer.EventID(pos)
	}
}
