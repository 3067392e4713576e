package mesh

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
)

func TestSyncRequestRoundTrip(t *testing.T) {
	sent := SyncRequest{Version: 7, Replicas: []uint64{1 << 63, 0, 5}, Placements: true}
	var got SyncRequest
	if err := got.unmarshal(sent.marshal()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent, got); diff != "" {
		t.Errorf("want (-want +got):\n%s", diff)
	}
}

func TestSyncResponseRoundTrip(t *testing.T) {
	text := bytes.Repeat([]byte(`{"name":"r-2yhvz3p","kind":"streaming"},`), 10000)
	sent := SyncResponse{Configuration: text, Version: 4, Store: peridotusher.Position{Epoch: 2, Revision: 30}, Entries: sampleHeartbeat().Changes, Evacuations: sampleHeartbeat().Evacuations, Limits: sampleHeartbeat().Limits, Complete: true, Settled: true, ReadAge: time.Second, OutageAge: time.Minute, Format: format}
	sent.Placements.Placements = []placing.Placement{{Key: 1 << 60, Replica: 5}, {Key: 3, Replica: 1 << 31}}
	sent.Placements.Versions = []placing.Version{{Origin: placing.Origin{Name: "r1", Incarnation: 8}, Sequence: 3}, {Origin: placing.Origin{Name: "r2"}}}
	data, err := sent.marshal(&compressionCache{})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > len(text)/10 {
		t.Errorf("%d bytes for a configuration of %d", len(data), len(text))
	}
	var got SyncResponse
	if err := got.unmarshal(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent, got); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
}
