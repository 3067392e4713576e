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

// inZone is a list of one replica in a zone.
func inZone(zone string) []replicas.Entry {
	return []replicas.Entry{{ID: "i", Service: "s", Address: "10.0.0.1:80", Zone: zone, Slots: 4, Revision: 1}}
}

// TestStartKnowsEvacuations has a router that starts fetch the state of another one: it knows
// the evacuations as soon as it may be ready.
func TestStartKnowsEvacuations(t *testing.T) {
	ahead, fresh := newTestRouter(t), newTestRouter(t)
	ahead.table.Merge(inZone("b"))
	ahead.current.Offer(&routing.Document{Version: 3, Source: []byte("text")})
	ahead.evacuate(replicas.EvacuationList{Evacuations: []replicas.Evacuation{{Zone: "b", Active: true, Revision: 7}}}, "store")
	known := false
	fresh.Decode = func([]byte) (*routing.Document, error) {
		known = fresh.table.Evacuated("b")
		return &routing.Document{Version: 3}, nil
	}
	if err := (state{fresh}).Apply(state{ahead}.Respond(state{fresh}.Request(mesh.PlacementsMissed))); err != nil {
		t.Fatal(err)
	}
	if !known || !fresh.Ready() || len(fresh.table.Ready("s")) > 0 {
		t.Errorf("known before the configuration: %v, ready: %v, replicas: %d", known, fresh.Ready(), len(fresh.table.Ready("s")))
	}
}

// TestEvacuationsAreTold has a router hear of evacuations in heartbeats: it logs what is new,
// also of a zone that it does not know, and takes none of an epoch that cannot be.
func TestEvacuationsAreTold(t *testing.T) {
	r, log := newTestRouter(t), counting{}
	r.Log = log
	r.table.Merge(inZone("b"))
	r.noteStore(peridotusher.Position{Epoch: 1, Revision: 5}, "store")
	told := []replicas.Evacuation{
		{Zone: "b", Active: true, Epoch: 1, Revision: 7}, {Zone: "nowhere", Active: true, Epoch: 1, Revision: 8},
		{Zone: "c", Active: true, Epoch: 1 << 60, Revision: 8},
	}
	for range 3 {
		state{r}.Merge(&mesh.Heartbeat{Member: mesh.Member{Name: "o"}, Epoch: 1, Evacuations: append([]replicas.Evacuation(nil), told...)})
	}
	if diff := cmp.Diff(counting{"evacuation": 2}, log); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	var b mesh.Heartbeat
	state{r}.Fill(&b)
	if len(b.Evacuations) != 2 || r.table.Evacuated("c") {
		t.Errorf("told on: %+v", b.Evacuations)
	}
}

// TestReturnWaitsForTheCopy has a store come back from a copy that lacks an evacuation: the
// operator has time to write it again.
func TestReturnWaitsForTheCopy(t *testing.T) {
	r := newTestRouter(t)
	r.reading.merge(r.clock.Now(), peerList{at: r.clock.Now(), outage: r.clock.Now().Add(-time.Hour), by: 1}, time.Second)
	evacuated := replicas.EvacuationList{Evacuations: []replicas.Evacuation{{Zone: "b", Active: true, Epoch: 1, Revision: 7}}}
	at := func(epoch, revision int64) peridotusher.Position {
		return peridotusher.Position{Epoch: epoch, Revision: revision}
	}
	r.noteStore(at(1, 7), "store")
	r.evacuateOnly(at(1, 7), evacuated, "store")
	r.noteStore(at(2, 3), "store")
	r.evacuateOnly(at(2, 3), replicas.EvacuationList{}, "store")
	if !r.table.Evacuated("b") {
		t.Error("the evacuation ended with the first read of the copy")
	}
	r.reading.merge(r.clock.Now(), peerList{at: r.clock.Now(), outage: r.clock.Now().Add(-time.Hour), by: 1}, time.Second)
	r.evacuateOnly(at(2, 3), replicas.EvacuationList{}, "store")
	if r.table.Evacuated("b") {
		t.Error("the evacuation did not end though the store lacks it")
	}
}
