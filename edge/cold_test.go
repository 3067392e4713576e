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

// coldDocument has a service whose replicas can be cold, and one whose cannot.
func coldDocument() *routing.Document {
	return &routing.Document{Version: 1, Services: map[string]*routing.Service{
		"s":    {Name: "s", ColdFor: 20 * time.Second, ColdRate: 17},
		"t":    {Name: "t", ColdFor: 20 * time.Second},
		"slow": {Name: "slow", ColdFor: time.Second, ColdRate: 0.01},
	}}
}

func coldEntry(id string, revision int64, cold time.Duration) replicas.Entry {
	return replicas.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Revision: revision, ColdRemaining: cold, ReportsCold: true}
}

// TestColdBounds takes the bound of a service from the configuration and the settings.
func TestColdBounds(t *testing.T) {
	r := newTestRouter(t)
	if got := r.coldBound("s"); got != 0 {
		t.Errorf("the bound is %v without a configuration", got)
	}
	r.offer(coldDocument(), "store")
	for service, want := range map[string]float64{"s": 30.5, "t": 0, "slow": 5.015, "unknown": 0} {
		if got := r.coldBound(service); got != want {
			t.Errorf("the bound of %s is %v, want %v", service, got, want)
		}
	}
	if got := []time.Duration{r.coldFor("s"), r.coldFor("t")}; got[0] != 20*time.Second || got[1] != 0 {
		t.Errorf("replicas of s and t are cold for %v", got)
	}
}

// TestColdTravels has one router read that a replica became cold, and another one hear of
// it in a heartbeat. What the replica tells later of the same is not told on.
func TestColdTravels(t *testing.T) {
	reader, other := newTestRouter(t), newTestRouter(t)
	for _, r := range []*Router{reader, other} {
		r.offer(coldDocument(), "store")
		r.table.Merge([]replicas.Entry{coldEntry("a", 1, 0)})
	}
	var b mesh.Heartbeat
	reader.changed("store", reader.table.Merge([]replicas.Entry{coldEntry("a", 2, 20*time.Second)}))
	state{reader}.Fill(&b)
	state{other}.Merge(&b)
	replica := other.table.Ready("s")[0]
	if left := replica.ColdRemaining(other.clock.Now()); left < 19*time.Second || left > 21*time.Second {
		t.Errorf("the other router takes it for cold for %v", left)
	}
	if !other.slowStart.Cold(replica, other.clock.Now()) || other.slowStart.Allowed(replica, other.clock.Now()) {
		t.Error("a router that knows none of its seeds may send to it")
	}
	if changed := reader.table.Merge([]replicas.Entry{coldEntry("a", 3, 19500*time.Millisecond)}); len(changed) != 0 {
		t.Errorf("the time that goes by is told on: %v", changed)
	}
}

// TestDigestsFollowTheConfiguration guards against routers that fetch from one that started
// while a replica is cold: it got the list before the configuration.
func TestDigestsFollowTheConfiguration(t *testing.T) {
	running, started := newTestRouter(t), newTestRouter(t)
	running.offer(coldDocument(), "store")
	for _, r := range []*Router{running, started} {
		r.table.Merge([]replicas.Entry{coldEntry("a", 1, time.Minute)})
	}
	started.offer(coldDocument(), "peer")
	if running.table.Digest() != started.table.Digest() {
		t.Error("the digests differ")
	}
}

// TestColdIsLogged has replicas become cold and warm: each change is one line.
func TestColdIsLogged(t *testing.T) {
	r, log := newTestRouter(t), counting{}
	r.Log = log
	r.offer(coldDocument(), "store")
	never := coldEntry("b", 1, time.Minute)
	never.Service = "t"
	r.table.Merge([]replicas.Entry{coldEntry("a", 1, time.Minute), never})
	r.watchCold()
	r.watchCold()
	r.table.Merge([]replicas.Entry{coldEntry("a", 2, 0)})
	r.watchCold()
	r.watchCold()
	if diff := cmp.Diff(counting{"configuration": 1, "cold": 1, "warm": 1}, log); diff != "" {
		t.Errorf("lines by kind (-want +got):\n%s", diff)
	}
}

// TestColdReplicasAreNotAsked has a router that starts not ask cold replicas for the parts
// that they hold, which would count as requests.
func TestColdReplicasAreNotAsked(t *testing.T) {
	r := newTestRouter(t)
	doc := coldDocument()
	doc.Services["s"].RunsModel = true
	r.offer(doc, "store")
	r.table.Merge([]replicas.Entry{coldEntry("a", 1, time.Minute), coldEntry("b", 1, 0)})
	asked := r.toAsk(0, map[uint32]bool{})
	if len(asked) != 1 || asked[0].ID() != "b" {
		t.Errorf("%d replicas are asked, want b alone", len(asked))
	}
}

// TestMalformedColdValuesAreLogged has a configuration with malformed values come into
// force: each is logged once.
func TestMalformedColdValuesAreLogged(t *testing.T) {
	r, log := newTestRouter(t), counting{}
	r.Log = log
	for version := range int64(3) {
		r.offer(&routing.Document{Version: version + 1, Malformed: []string{"s time", "s rate"}}, "store")
	}
	if diff := cmp.Diff(counting{"configuration": 3, "malformed": 2}, log); diff != "" {
		t.Errorf("lines by kind (-want +got):\n%s", diff)
	}
}

// TestFetchedListIsComplete guards against warm replicas that are taken for cold because a
// router got a part of the list from another one: only a replica that comes after the whole
// list is, and by this router alone.
func TestFetchedListIsComplete(t *testing.T) {
	peer, r := newTestRouter(t), newTestRouter(t)
	peer.offer(coldDocument(), "store")
	r.offer(coldDocument(), "store")
	fetch := func(want map[string]bool) {
		t.Helper()
		if err := (state{r}).Apply(state{peer}.Respond(state{r}.Request(mesh.ReplicasDiffer))); err != nil {
			t.Fatal(err)
		}
		got := make(map[string]bool)
		for _, replica := range r.table.Ready("s") {
			got[replica.ID()] = replica.ColdRemaining(r.clock.Now()) > 0
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("cold (-want +got):\n%s", diff)
		}
	}
	silent := func(id string, revision int64) replicas.Entry {
		return replicas.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Revision: revision}
	}
	listed := []replicas.Entry{silent("a", 1)}
	peer.table.Merge(listed)
	fetch(map[string]bool{"a": false})
	listed = append(listed, silent("b", 2))
	peer.table.MergeSnapshot(peridotusher.Position{Revision: 2}, listed, false)
	fetch(map[string]bool{"a": false, "b": false})
	peer.table.Merge([]replicas.Entry{silent("c", 3)})
	fetch(map[string]bool{"a": false, "b": false, "c": true})
	for _, e := range append(peer.table.RecentChanges(9, time.Minute), r.table.RecentChanges(9, time.Minute)...) {
		if e.ReportsCold {
			t.Errorf("the assumption is told on: %+v", e)
		}
	}
}
