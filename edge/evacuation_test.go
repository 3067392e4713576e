package edge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// replicaInZone returns a list of one replica in a zone.
func replicaInZone(zone string) []replicas.Entry {
	return []replicas.Entry{{ID: "i", Service: "s", Address: "10.0.0.1:80", Zone: zone, Slots: 4, Revision: 1}}
}

// TestEvacuationsApplyBeforeReady checks that a router that starts and fetches the state of another
// one applies the evacuations before it can become ready.
func TestEvacuationsApplyBeforeReady(t *testing.T) {
	running, starting := newTestRouter(t), newTestRouter(t)
	running.table.Merge(replicaInZone("b"))
	running.current.Offer(&routing.Document{Version: 3, Source: []byte("text")})
	running.mergeEvacuations(replicas.EvacuationList{Evacuations: []replicas.Evacuation{{Zone: "b", Active: true, Revision: 7}}}, "store")
	knownFirst := false
	starting.Decode = func([]byte) (*routing.Document, error) {
		knownFirst = starting.table.Evacuated("b")
		return &routing.Document{Version: 3}, nil
	}
	if err := (state{starting}).Apply(state{running}.Respond(state{starting}.Request(mesh.PlacementsMissed))); err != nil {
		t.Fatal(err)
	}
	if !knownFirst || !starting.Ready() || len(starting.table.Ready("s")) > 0 {
		t.Errorf("known before the configuration: %v, ready: %v, replicas: %d", knownFirst, starting.Ready(), len(starting.table.Ready("s")))
	}
}

// TestEvacuationsArePublished checks that a router logs and publishes evacuations that are new to
// it, including those of a zone that it does not know. It ignores those of an implausible epoch.
func TestEvacuationsArePublished(t *testing.T) {
	r, log := newTestRouter(t), countingLog{}
	r.Log = log
	r.table.Merge(replicaInZone("b"))
	r.recordStorePosition(peridotusher.Position{Epoch: 1, Revision: 5}, "store")
	published := []replicas.Evacuation{
		{Zone: "b", Active: true, Epoch: 1, Revision: 7}, {Zone: "nowhere", Active: true, Epoch: 1, Revision: 8},
		{Zone: "c", Active: true, Epoch: 1 << 60, Revision: 8},
	}
	for range 3 {
		state{r}.Merge(&mesh.Heartbeat{Member: mesh.Member{Name: "o"}, Epoch: 1, Evacuations: append([]replicas.Evacuation(nil), published...)})
	}
	if diff := cmp.Diff(countingLog{"evacuation": 2}, log); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	var h mesh.Heartbeat
	state{r}.Fill(&h)
	if len(h.Evacuations) != 2 || r.table.Evacuated("c") {
		t.Errorf("published: %+v", h.Evacuations)
	}
}

// TestEvacuationSurvivesStoreRestore checks that an evacuation does not end at once if the store is
// restored from a backup that lacks it, so that the operator has time to write it again.
func TestEvacuationSurvivesStoreRestore(t *testing.T) {
	r := newTestRouter(t)
	r.lists.merge(r.clock.Now(), peerList{readAt: r.clock.Now(), outageEnd: r.clock.Now().Add(-time.Hour), readerScore: 1}, time.Second)
	evacuated := replicas.EvacuationList{Evacuations: []replicas.Evacuation{{Zone: "b", Active: true, Epoch: 1, Revision: 7}}}
	at := func(epoch, revision int64) peridotusher.Position {
		return peridotusher.Position{Epoch: epoch, Revision: revision}
	}
	r.recordStorePosition(at(1, 7), "store")
	r.mergeEvacuationSnapshot(at(1, 7), evacuated, "store")
	r.recordStorePosition(at(2, 3), "store")
	r.mergeEvacuationSnapshot(at(2, 3), replicas.EvacuationList{}, "store")
	if !r.table.Evacuated("b") {
		t.Error("the evacuation ended with the first read of the restored store")
	}
	r.lists.merge(r.clock.Now(), peerList{readAt: r.clock.Now(), outageEnd: r.clock.Now().Add(-time.Hour), readerScore: 1}, time.Second)
	r.mergeEvacuationSnapshot(at(2, 3), replicas.EvacuationList{}, "store")
	if r.table.Evacuated("b") {
		t.Error("the evacuation did not end though the store lacks it")
	}
}
