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

// quiet is a log that keeps nothing.
type quiet struct{}

func (quiet) Event(string, ...any) {}

func newTestRouter(t *testing.T) *Router {
	t.Helper()
	s, problems := Parse("edge.ini", []byte(rendered(t, true)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	r := &Router{Settings: s, Log: quiet{}}
	r.init()
	return r
}

// TestHeartbeatNamesARelease has as many replicas leave and come at once as in a
// release of a large service: one heartbeat has to name them all.
func TestHeartbeatNamesARelease(t *testing.T) {
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
	var b mesh.Heartbeat
	state{r}.Fill(&b)
	leaving := 0
	for _, e := range b.Changes {
		if e.Leaving {
			leaving++
		}
	}
	if leaving != changed {
		t.Errorf("the beat names %d of %d replicas that leave", leaving, changed)
	}
}

// TestStopLeavesTime checks the times of a stop: the balancer has asked twice in
// vain before all requests are taken no longer, what the network lost has come again
// before the router closes, and what was taken last has more than half of the time to
// the kill.
func TestStopLeavesTime(t *testing.T) {
	const asks, requestsCounted = 2 * time.Second, 3 * time.Second
	r := newTestRouter(t)
	if takesAll <= asks || takesAll >= requestsCounted {
		t.Errorf("all requests are taken for %v, want between %v and %v", takesAll, asks, requestsCounted)
	}
	// Three packets in a row are lost: they are sent again after 0.2, 0.4 and 0.8 s.
	const resends = 1400 * time.Millisecond
	if outOfRotation < asks+resends {
		t.Errorf("connections are taken for %v, the last one may come after %v", outOfRotation, asks+resends)
	}
	if r.front.KeepAliveTimeout < time.Second || r.front.KeepAliveTimeout+resends > outOfRotation {
		t.Errorf("clients may use idle connections again for %v, they are closed %v after a stop began", r.front.KeepAliveTimeout, outOfRotation)
	}
	// The platform counts a router as ready that is not out of rotation after 4 s.
	if leaveLater+asks >= 4*time.Second {
		t.Errorf("a router leaves the rotation %v later and is out of it %v after that", leaveLater, asks)
	}
	stop := r.bounds.Load().stop
	now := r.clock.Now()
	if left := newLeave(now, stop, mesh.ZoneCount{All: 1}).left(now.Add(outOfRotation)); left < stop/2 || outOfRotation+left >= stop {
		t.Errorf("requests have %v of the %v to the kill", left, stop)
	}
	if left := r.graceLeft(); left <= 0 || left >= stop {
		t.Errorf("closed for a failure, requests have %v of %v", left, stop)
	}
}

// TestFetchesAreSmall has a router that knows all replicas of a large service hear
// of a newer configuration: it asks for that alone, so that it is in force soon. One
// that knows nothing asks for the replicas too.
func TestFetchesAreSmall(t *testing.T) {
	const many = 1400
	ahead, knowing, fresh := newTestRouter(t), newTestRouter(t), newTestRouter(t)
	var entries []replicas.Entry
	for i := range many {
		entries = append(entries, replicas.Entry{ID: fmt.Sprint(i), Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Revision: 1})
	}
	for _, r := range []*Router{ahead, knowing} {
		r.table.Merge(entries)
		r.listed.Store(true)
	}
	entries[0].Leaving, entries[0].Revision = true, 2
	ahead.table.Merge(entries[:1])
	ahead.current.Offer(&routing.Document{Version: 9, Source: []byte("text")})
	tests := []struct {
		name        string
		asker       *Router
		lack        mesh.Staleness
		most, least int
	}{
		{"a newer configuration", knowing, mesh.ConfigurationOutdated, 0, 0},
		{"different replicas", knowing, mesh.ReplicasDiffer, many / 20, 1},
		{"a start", fresh, mesh.ConfigurationOutdated, many, many},
	}
	for _, tt := range tests {
		w := state{ahead}.Respond(state{tt.asker}.Request(tt.lack))
		if n := len(w.Entries); n > tt.most || n < tt.least {
			t.Errorf("%s: %d entries are fetched, want %d to %d", tt.name, n, tt.least, tt.most)
		}
		if w.Version != 9 || len(w.Placements.Placements) > 0 {
			t.Errorf("%s: version %d and %d placements are fetched", tt.name, w.Version, len(w.Placements.Placements))
		}
	}
}

// TestChangesAreLogged has a few replicas change, and many at once as at a start: each
// departure has a line.
func TestChangesAreLogged(t *testing.T) {
	tests := []struct {
		changed, departed int
		want              map[string]int
	}{
		{3, 1, map[string]int{"replica": 3}},
		{changesLogged, 0, map[string]int{"replica": changesLogged}},
		{changesLogged + 1, 0, map[string]int{"replicas": 1}},
		{changesLogged + 1, 7, map[string]int{"replicas": 1, "replica": 7}},
		{2 * departuresLogged, 2 * departuresLogged, map[string]int{"replicas": 1, "replica": departuresLogged}},
	}
	for _, tt := range tests {
		r, log := newTestRouter(t), counting{}
		r.Log = log
		changed := make([]replicas.Entry, tt.changed)
		for i := range tt.departed {
			changed[i].Leaving = i%2 == 0
			changed[i].Removed = !changed[i].Leaving
		}
		r.logChanges("store", changed)
		if diff := cmp.Diff(counting(tt.want), log); diff != "" {
			t.Errorf("%d changes, %d departures, lines by kind (-want +got):\n%s", tt.changed, tt.departed, diff)
		}
	}
}

// counting counts events by kind.
type counting map[string]int

func (c counting) Event(kind string, _ ...any) { c[kind]++ }

// TestMemoryOfAnswers guards against a router that holds more for slow clients than its
// host allows, or nothing.
func TestMemoryOfAnswers(t *testing.T) {
	r := newTestRouter(t)
	host := int64(r.Settings.router.memory) << 20
	if got := r.front.AnswerMemory; got != host/8 {
		t.Errorf("%d bytes for answers, want an eighth of %d", got, host)
	}
}
