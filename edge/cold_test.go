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

// coldDocument returns a configuration with services whose replicas can be cold, and one, t, whose
// replicas cannot.
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

// TestColdBounds checks that the bound follows from the service's configuration and the settings.
func TestColdBounds(t *testing.T) {
	r := newTestRouter(t)
	if got := r.coldBound("s"); got != 0 {
		t.Errorf("the bound is %v without a configuration", got)
	}
	r.applyConfiguration(coldDocument(), "store")
	for service, want := range map[string]float64{"s": 30.5, "t": 0, "slow": 5.015, "unknown": 0} {
		if got := r.coldBound(service); got != want {
			t.Errorf("the bound of %s is %v, want %v", service, got, want)
		}
	}
	if got := []time.Duration{r.coldDuration("s"), r.coldDuration("t")}; got[0] != 20*time.Second || got[1] != 0 {
		t.Errorf("replicas of s and t are cold for %v", got)
	}
}

// TestColdStatePropagates checks that a router learns from a heartbeat that another one read that a
// replica became cold. Later reports of the same cold time are not published again.
func TestColdStatePropagates(t *testing.T) {
	reader, other := newTestRouter(t), newTestRouter(t)
	for _, r := range []*Router{reader, other} {
		r.applyConfiguration(coldDocument(), "store")
		r.table.Merge([]replicas.Entry{coldEntry("a", 1, 0)})
	}
	var h mesh.Heartbeat
	reader.publishChanges("store", reader.table.Merge([]replicas.Entry{coldEntry("a", 2, 20*time.Second)}))
	state{reader}.Fill(&h)
	state{other}.Merge(&h)
	replica := other.table.Ready("s")[0]
	if remaining := replica.ColdRemaining(other.clock.Now()); remaining < 19*time.Second || remaining > 21*time.Second {
		t.Errorf("the other router assumes that it is cold for %v", remaining)
	}
	if !other.slowStart.Cold(replica, other.clock.Now()) || other.slowStart.Allowed(replica, other.clock.Now()) {
		t.Error("a router that knows none of its seeds may send requests to it")
	}
	if changed := reader.table.Merge([]replicas.Entry{coldEntry("a", 3, 19500*time.Millisecond)}); len(changed) != 0 {
		t.Errorf("the decreasing cold time is published: %v", changed)
	}
}

// TestDigestsMatchAfterConfiguration guards against routers that fetch state needlessly from one
// that started while a replica was cold and received the list before the configuration.
func TestDigestsMatchAfterConfiguration(t *testing.T) {
	running, started := newTestRouter(t), newTestRouter(t)
	running.applyConfiguration(coldDocument(), "store")
	for _, r := range []*Router{running, started} {
		r.table.Merge([]replicas.Entry{coldEntry("a", 1, time.Minute)})
	}
	started.applyConfiguration(coldDocument(), "peer")
	if running.table.Digest() != started.table.Digest() {
		t.Error("the digests differ")
	}
}

// TestColdIsLogged checks that each change of a replica to cold or warm is logged once.
func TestColdIsLogged(t *testing.T) {
	r, log := newTestRouter(t), countingLog{}
	r.Log = log
	r.applyConfiguration(coldDocument(), "store")
	neverCold := coldEntry("b", 1, time.Minute)
	neverCold.Service = "t"
	r.table.Merge([]replicas.Entry{coldEntry("a", 1, time.Minute), neverCold})
	r.trackColdReplicas()
	r.trackColdReplicas()
	r.table.Merge([]replicas.Entry{coldEntry("a", 2, 0)})
	r.trackColdReplicas()
	r.trackColdReplicas()
	if diff := cmp.Diff(countingLog{"configuration": 1, "cold": 1, "warm": 1}, log); diff != "" {
		t.Errorf("lines by kind (-want +got):\n%s", diff)
	}
}

// TestColdReplicasAreNotQueried checks that a router that starts does not query cold replicas for
// their parts, since each query would count as a request.
func TestColdReplicasAreNotQueried(t *testing.T) {
	r := newTestRouter(t)
	doc := coldDocument()
	doc.Services["s"].RunsModel = true
	r.applyConfiguration(doc, "store")
	r.table.Merge([]replicas.Entry{coldEntry("a", 1, time.Minute), coldEntry("b", 1, 0)})
	queried := r.replicasToQuery(0, map[uint32]bool{})
	if len(queried) != 1 || queried[0].ID() != "b" {
		t.Errorf("%d replicas are queried, want only b", len(queried))
	}
}

// TestMalformedColdValuesAreLogged checks that each malformed value of a configuration is logged
// once, although later versions contain it too.
func TestMalformedColdValuesAreLogged(t *testing.T) {
	r, log := newTestRouter(t), countingLog{}
	r.Log = log
	for version := range int64(3) {
		r.applyConfiguration(&routing.Document{Version: version + 1, Malformed: []string{"s time", "s rate"}}, "store")
	}
	if diff := cmp.Diff(countingLog{"configuration": 3, "malformed": 2}, log); diff != "" {
		t.Errorf("lines by kind (-want +got):\n%s", diff)
	}
}

// TestFetchedListIsComplete guards against warm replicas that are assumed to be cold because a
// router fetched part of the list from another one. Only a replica that appears after the complete
// list is assumed to be cold, and the assumption is not published.
func TestFetchedListIsComplete(t *testing.T) {
	peer, r := newTestRouter(t), newTestRouter(t)
	peer.applyConfiguration(coldDocument(), "store")
	r.applyConfiguration(coldDocument(), "store")
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
	entry := func(id string, revision int64) replicas.Entry {
		return replicas.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Revision: revision}
	}
	listed := []replicas.Entry{entry("a", 1)}
	peer.table.Merge(listed)
	fetch(map[string]bool{"a": false})
	listed = append(listed, entry("b", 2))
	peer.table.MergeSnapshot(peridotusher.Position{Revision: 2}, listed, false)
	fetch(map[string]bool{"a": false, "b": false})
	peer.table.Merge([]replicas.Entry{entry("c", 3)})
	fetch(map[string]bool{"a": false, "b": false, "c": true})
	for _, e := range append(peer.table.RecentChanges(9, time.Minute), r.table.RecentChanges(9, time.Minute)...) {
		if e.ReportsCold {
			t.Errorf("the assumption is published: %+v", e)
		}
	}
}
