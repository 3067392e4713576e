package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/replicas"
	"peridotusher.example/peridotusher/routing"
)

// discardLog is a log that discards all events.
type discardLog struct{}

func (discardLog) Event(string, ...any) {}

func newTestRouter(t *testing.T) *Router {
	t.Helper()
	s, problems := Parse("edge.ini", []byte(renderSettings(t, true)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	r := &Router{Settings: s, Log: discardLog{}}
	r.init()
	return r
}

// TestHeartbeatContainsWholeRelease checks that one heartbeat contains all replicas that leave at
// once in a release of a large service.
func TestHeartbeatContainsWholeRelease(t *testing.T) {
	const changed = 30
	r := newTestRouter(t)
	var entries []replicas.Entry
	for i := range changed {
		entries = append(entries, replicas.Entry{ID: fmt.Sprint(i), Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Revision: 1})
	}
	r.table.Merge(entries)
	for i := range entries {
		entries[i].Leaving, entries[i].Revision = true, 2
	}
	r.table.Merge(entries)
	var h mesh.Heartbeat
	state{r}.Fill(&h)
	leaving := 0
	for _, e := range h.Changes {
		if e.Leaving {
			leaving++
		}
	}
	if leaving != changed {
		t.Errorf("the heartbeat contains %d of %d leaving replicas", leaving, changed)
	}
}

// TestStopTimes checks the durations of a stop. The balancer has checked twice without success
// before requests are no longer all accepted, lost packets have been sent again before the router
// closes, and the requests accepted last have more than half of the time to the kill.
func TestStopTimes(t *testing.T) {
	const exitTime, requestPeriod = 2 * time.Second, 3 * time.Second
	r := newTestRouter(t)
	if acceptAllPeriod <= exitTime || acceptAllPeriod >= requestPeriod {
		t.Errorf("all requests are accepted for %v, want between %v and %v", acceptAllPeriod, exitTime, requestPeriod)
	}
	// Three packets in a row are lost and sent again after 0.2, 0.4 and 0.8 s.
	const resends = 1400 * time.Millisecond
	if rotationExitDelay < exitTime+resends {
		t.Errorf("connections are accepted for %v, the last one may arrive after %v", rotationExitDelay, exitTime+resends)
	}
	if r.proxy.KeepAliveTimeout < time.Second || r.proxy.KeepAliveTimeout+resends > rotationExitDelay {
		t.Errorf("clients may reuse idle connections for %v, which are closed %v after the start of a stop", r.proxy.KeepAliveTimeout, rotationExitDelay)
	}
	// The platform counts a router as ready if it is still in the rotation after 4 s.
	if rotationExitPostponement+exitTime >= 4*time.Second {
		t.Errorf("leaving the rotation is postponed by %v and takes %v more", rotationExitPostponement, exitTime)
	}
	stop := r.bounds.Load().stopGrace
	now := r.clock.Now()
	if remaining := newShutdown(now, stop, mesh.ZoneCount{All: 1}).remaining(now.Add(rotationExitDelay)); remaining < stop/2 || rotationExitDelay+remaining >= stop {
		t.Errorf("requests have %v of the %v until the kill", remaining, stop)
	}
	if remaining := r.remainingGrace(); remaining <= 0 || remaining >= stop {
		t.Errorf("closed because of a failure, requests have %v of %v", remaining, stop)
	}
}

// TestFetchRequestsOnlyMissingState checks that a router that knows all replicas of a large service
// requests only a newer configuration, so that it is in force soon. A router that knows nothing
// requests the replicas too.
func TestFetchRequestsOnlyMissingState(t *testing.T) {
	const many = 1400
	upToDate, outdated, starting := newTestRouter(t), newTestRouter(t), newTestRouter(t)
	var entries []replicas.Entry
	for i := range many {
		entries = append(entries, replicas.Entry{ID: fmt.Sprint(i), Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Revision: 1})
	}
	for _, r := range []*Router{upToDate, outdated} {
		r.table.Merge(entries)
		r.hasList.Store(true)
	}
	entries[0].Leaving, entries[0].Revision = true, 2
	upToDate.table.Merge(entries[:1])
	upToDate.current.Offer(&routing.Document{Version: 9, Source: []byte("text")})
	tests := []struct {
		name                   string
		requester              *Router
		staleness              mesh.Staleness
		maxEntries, minEntries int
	}{
		{"a newer configuration", outdated, mesh.ConfigurationOutdated, 0, 0},
		{"different replicas", outdated, mesh.ReplicasDiffer, many / 20, 1},
		{"a start", starting, mesh.ConfigurationOutdated, many, many},
	}
	for _, tt := range tests {
		response := state{upToDate}.Respond(state{tt.requester}.Request(tt.staleness))
		if n := len(response.Entries); n > tt.maxEntries || n < tt.minEntries {
			t.Errorf("%s: %d entries are fetched, want %d to %d", tt.name, n, tt.minEntries, tt.maxEntries)
		}
		if response.Version != 9 || len(response.Placements.Placements) > 0 {
			t.Errorf("%s: version %d and %d placements are fetched", tt.name, response.Version, len(response.Placements.Placements))
		}
	}
}

// TestChangesAreLogged checks that a few changes of replicas are logged one by one. Of many, as at
// a start, only departures are.
func TestChangesAreLogged(t *testing.T) {
	tests := []struct {
		changed, departed int
		want              map[string]int
	}{
		{3, 1, map[string]int{"replica": 3}},
		{maxChangesLogged, 0, map[string]int{"replica": maxChangesLogged}},
		{maxChangesLogged + 1, 0, map[string]int{"replicas": 1}},
		{maxChangesLogged + 1, 7, map[string]int{"replicas": 1, "replica": 7}},
		{2 * maxDeparturesLogged, 2 * maxDeparturesLogged, map[string]int{"replicas": 1, "replica": maxDeparturesLogged}},
	}
	for _, tt := range tests {
		r, log := newTestRouter(t), countingLog{}
		r.Log = log
		changed := make([]replicas.Entry, tt.changed)
		for i := range tt.departed {
			changed[i].Leaving = i%2 == 0
			changed[i].Removed = !changed[i].Leaving
		}
		r.logChanges("store", changed)
		if diff := cmp.Diff(countingLog(tt.want), log); diff != "" {
			t.Errorf("%d changes, %d departures, lines by kind (-want +got):\n%s", tt.changed, tt.departed, diff)
		}
	}
}

// TestRemovedProtectionIsLogged guards against a version that opens routes to requests without keys and
// leaves no trace in the log.
func TestRemovedProtectionIsLogged(t *testing.T) {
	r := newTestRouter(t)
	log := countingLog{}
	r.Log = log
	for version, keysRequired := range []bool{false, true, true, false, false} {
		r.applyConfiguration(&routing.Document{Version: int64(version + 1), KeysRequired: keysRequired}, "store")
	}
	if diff := cmp.Diff(countingLog{"configuration": 5, "unprotected": 1}, log); diff != "" {
		t.Errorf("lines by kind (-want +got):\n%s", diff)
	}
}

// countingLog counts events by kind.
type countingLog map[string]int

func (c countingLog) Event(kind string, _ ...any) { c[kind]++ }

// TestAnswerMemory checks that the router buffers no more for slow clients than a fixed fraction
// of its host's memory, but not nothing.
func TestAnswerMemory(t *testing.T) {
	r := newTestRouter(t)
	host := int64(r.Settings.router.memoryMB) << 20
	if got := r.proxy.AnswerMemory; got != host/8 {
		t.Errorf("%d bytes for answers, want an eighth of %d", got, host)
	}
}
