package edge

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/admission"
	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/replicas"
)

// firstPlaceQueue grants each request a place at the first replica.
type firstPlaceQueue struct{ places []admission.AvailableReplica }

func (q *firstPlaceQueue) SetReplicas(places []admission.AvailableReplica) { q.places = places }
func (q *firstPlaceQueue) Submit(admission.Request) admission.Reply {
	return admission.Reply{State: admission.Granted, Replica: q.places[0].Hash}
}
func (q *firstPlaceQueue) Release(string, int64, uint64, admission.Usage)       {}
func (q *firstPlaceQueue) Cancel(string, int64, uint64)                         {}
func (q *firstPlaceQueue) TakeDecisions() ([]admission.Decision, time.Duration) { return nil, 0 }
func (q *firstPlaceQueue) Stop() []admission.Decision                           { return nil }

// withMode returns settings with a mode of shared admission.
func withMode(t *testing.T, mode string) []byte {
	t.Helper()
	return []byte(strings.Replace(rendered(t, true), "[admission]\n", "[admission]\nmode = "+mode+"\n", 1))
}

func newAdmittingRouter(t *testing.T, mode admissionMode) *Router {
	t.Helper()
	s, problems := Parse("edge.ini", withMode(t, string(mode)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	r := &Router{Settings: s, Log: quiet{}, newQueue: func() admission.ServiceQueue { return &firstPlaceQueue{} }}
	r.init()
	return r
}

func offerReplicas(r *Router, ids ...string) {
	var entries []replicas.Entry
	for _, id := range ids {
		entries = append(entries, replicas.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Revision: 1})
	}
	r.table.Merge(entries)
}

// TestAdmissionModes checks which requests ask for places in each mode.
func TestAdmissionModes(t *testing.T) {
	for mode, want := range map[admissionMode][2]bool{
		admitAuto: {true, false}, admitOn: {true, true}, admitOff: {false, false},
	} {
		f := newAdmittingRouter(t, mode).front
		if got := [2]bool{f.Admission != nil, f.AlwaysAdmit}; got != want {
			t.Errorf("mode %s: asks for places, always: %v, want %v", mode, got, want)
		}
	}
	s, _ := Parse("edge.ini", withMode(t, "auto"))
	called := &Router{Settings: s, Log: quiet{}, SharesCapacity: func(contracts []string) bool { return slices.Contains(contracts, "pressure") }}
	if called.init(); !called.front.AlwaysAdmit {
		t.Error("contracts that call for shared admission are ignored")
	}
	if f := newTestRouter(t).front; f.Admission == nil || f.AlwaysAdmit {
		t.Error("without the section the mode is not auto")
	}
	if s, problems := Parse("edge.ini", withMode(t, "maybe")); s != nil || len(problems) != 1 {
		t.Errorf("an unknown mode: problems %v, want one", problems)
	}
}

// TestOwnCoordinator has a router that knows no other one grant itself a place, which the
// counters show until it is released.
func TestOwnCoordinator(t *testing.T) {
	r := newAdmittingRouter(t, admitOn)
	offerReplicas(r, "a")
	g := r.admission.Acquire(t.Context(), admission.Request{Service: "s", LatencyTarget: time.Second, Deadline: time.Second})
	if want := replicas.HashOf("a", 0); g.State != admission.Granted || g.Replica != want {
		t.Fatalf("%v at %d, want a place at %d", g.State, g.Replica, want)
	}
	held := func() string {
		var out bytes.Buffer
		r.set.WritePrometheus(&out)
		_, rest, _ := strings.Cut(out.String(), "peridotusher_admission_held ")
		line, _, _ := strings.Cut(rest, "\n")
		return line
	}
	if n := held(); n != "1" {
		t.Errorf("%s places are held, want 1", n)
	}
	g.Release(admission.Usage{Replica: g.Replica})
	if n := held(); n != "0" {
		t.Errorf("%s places are held after the release, want 0", n)
	}
}

// TestStoppingRouterCoordinatesNothing has the only router of a fleet stop.
func TestStoppingRouterCoordinatesNothing(t *testing.T) {
	r := newAdmittingRouter(t, admitOn)
	offerReplicas(r, "a")
	r.stopping.Store(newLeave(r.clock.Now(), time.Second, r.node.CountZone()))
	if g := r.admission.Acquire(t.Context(), admission.Request{Service: "s", LatencyTarget: time.Second, Deadline: time.Second}); g.State != admission.Bypassed {
		t.Errorf("%v, want the request to be placed by the router", g.State)
	}
}

// TestPlaces has replicas that may not be used and one that told its load: the coordinator
// is told of the usable ones only.
func TestPlaces(t *testing.T) {
	r := newAdmittingRouter(t, admitOn)
	offerReplicas(r, "a", "b", "c", "d")
	find := func(id string) *replicas.Replica {
		replica, ok := r.table.Find(replicas.HashOf(id, 0))
		if !ok {
			t.Fatalf("no replica %s", id)
		}
		return replica
	}
	now := r.clock.Now()
	find("b").Backoff(now, time.Minute)
	find("c").Record(now, replicas.Misdirected)
	r.table.MarkUnreachable(find("d"))
	find("a").ReportLoad(now, 3)
	want := []admission.AvailableReplica{{Hash: replicas.HashOf("a", 0), Zone: "a", Slots: 4, Load: 3, Pace: 1}}
	if diff := cmp.Diff(want, r.available("s")); diff != "" {
		t.Errorf("places (-want +got):\n%s", diff)
	}
}

// TestRequestOfAnotherRouter has another router ask, report what a replica told, and give
// the place back.
func TestRequestOfAnotherRouter(t *testing.T) {
	r := newAdmittingRouter(t, admitOn)
	offerReplicas(r, "a")
	requests := requests{r}
	requests.Submit(admission.Request{ID: 1, Router: "other", Incarnation: 5, Service: "s", LatencyTarget: time.Second, Deadline: time.Second})
	if held := r.coordinator.Stats().Held; held != 1 {
		t.Fatalf("%d places are held, want 1", held)
	}
	hash := replicas.HashOf("a", 0)
	requests.Release(mesh.EndedRequest{Service: "s", Router: "other", Incarnation: 5, ID: 1}, admission.Usage{Replica: hash, Running: 2, Waiting: 1, Slots: 4})
	if held, places := r.coordinator.Stats().Held, r.available("s"); held != 0 || places[0].Load != 3 {
		t.Errorf("%d places are held and the replica's load is %d, want 0 and 3", held, places[0].Load)
	}
}
