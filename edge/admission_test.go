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

// firstReplicaQueue grants each request a slot at the first replica.
type firstReplicaQueue struct{ replicas []admission.AvailableReplica }

func (q *firstReplicaQueue) SetReplicas(available []admission.AvailableReplica) {
	q.replicas = available
}
func (q *firstReplicaQueue) Submit(admission.Request) admission.Reply {
	return admission.Reply{State: admission.Granted, Replica: q.replicas[0].Hash}
}
func (q *firstReplicaQueue) Release(string, int64, uint64, admission.Usage)       {}
func (q *firstReplicaQueue) Cancel(string, int64, uint64)                         {}
func (q *firstReplicaQueue) TakeDecisions() ([]admission.Decision, time.Duration) { return nil, 0 }
func (q *firstReplicaQueue) Stop() []admission.Decision                           { return nil }

// settingsWithMode returns a settings file with a mode of shared admission.
func settingsWithMode(t *testing.T, mode string) []byte {
	t.Helper()
	return []byte(strings.Replace(renderSettings(t, true), "[admission]\n", "[admission]\nmode = "+mode+"\n", 1))
}

func newAdmittingRouter(t *testing.T, mode admissionMode) *Router {
	t.Helper()
	s, problems := Parse("edge.ini", settingsWithMode(t, string(mode)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	r := &Router{Settings: s, Log: discardLog{}, newQueue: func() admission.ServiceQueue { return &firstReplicaQueue{} }}
	r.init()
	return r
}

func addReplicas(r *Router, ids ...string) {
	var entries []replicas.Entry
	for _, id := range ids {
		entries = append(entries, replicas.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Revision: 1})
	}
	r.table.Merge(entries)
}

// TestAdmissionModes checks which requests acquire slots in each mode.
func TestAdmissionModes(t *testing.T) {
	for mode, want := range map[admissionMode][2]bool{
		admitAuto: {true, false}, admitOn: {true, true}, admitOff: {false, false},
	} {
		f := newAdmittingRouter(t, mode).proxy
		if got := [2]bool{f.Admission != nil, f.AlwaysAdmit}; got != want {
			t.Errorf("mode %s: acquires slots, always: %v, want %v", mode, got, want)
		}
	}
	s, _ := Parse("edge.ini", settingsWithMode(t, "auto"))
	required := &Router{Settings: s, Log: discardLog{}, SharesCapacity: func(contracts []string) bool { return slices.Contains(contracts, "pressure") }}
	if required.init(); !required.proxy.AlwaysAdmit {
		t.Error("contracts that require shared admission are ignored")
	}
	if f := newTestRouter(t).proxy; f.Admission == nil || f.AlwaysAdmit {
		t.Error("the mode is not auto if the section is missing")
	}
	if s, problems := Parse("edge.ini", settingsWithMode(t, "maybe")); s != nil || len(problems) != 1 {
		t.Errorf("an unknown mode: problems %v, want one", problems)
	}
}

// TestRouterIsItsOwnCoordinator checks that a router that knows no others grants itself a slot,
// and that the metrics count the slot until it is released.
func TestRouterIsItsOwnCoordinator(t *testing.T) {
	r := newAdmittingRouter(t, admitOn)
	addReplicas(r, "a")
	g := r.admission.Acquire(t.Context(), admission.Request{Service: "s", LatencyTarget: time.Second, Deadline: time.Second})
	if want := replicas.HashOf("a", 0); g.State != admission.Granted || g.Replica != want {
		t.Fatalf("%v at %d, want a slot at %d", g.State, g.Replica, want)
	}
	held := func() string {
		var out bytes.Buffer
		r.metricSet.WritePrometheus(&out)
		_, rest, _ := strings.Cut(out.String(), "peridotusher_admission_held ")
		line, _, _ := strings.Cut(rest, "\n")
		return line
	}
	if n := held(); n != "1" {
		t.Errorf("%s slots are held, want 1", n)
	}
	g.Release(admission.Usage{Replica: g.Replica})
	if n := held(); n != "0" {
		t.Errorf("%s slots are held after the release, want 0", n)
	}
}

// TestStoppingRouterCoordinatesNothing checks that the only router of a fleet grants no slots
// once it stops: it chooses replicas without a grant.
func TestStoppingRouterCoordinatesNothing(t *testing.T) {
	r := newAdmittingRouter(t, admitOn)
	addReplicas(r, "a")
	r.stopping.Store(newShutdown(r.clock.Now(), time.Second, r.node.CountZone()))
	if g := r.admission.Acquire(t.Context(), admission.Request{Service: "s", LatencyTarget: time.Second, Deadline: time.Second}); g.State != admission.Bypassed {
		t.Errorf("%v, want the router to choose the replica itself", g.State)
	}
}

// TestAvailableReplicas checks that the coordinator gets only the usable replicas, with the load
// that they reported.
func TestAvailableReplicas(t *testing.T) {
	r := newAdmittingRouter(t, admitOn)
	addReplicas(r, "a", "b", "c", "d")
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
		t.Errorf("available replicas (-want +got):\n%s", diff)
	}
}

// TestPeerRequestHoldsSlot checks that a request of another router holds a slot until its
// release, which also reports the replica's load.
func TestPeerRequestHoldsSlot(t *testing.T) {
	r := newAdmittingRouter(t, admitOn)
	addReplicas(r, "a")
	requests := admissionHandler{r}
	requests.Submit(admission.Request{ID: 1, Router: "other", Incarnation: 5, Service: "s", LatencyTarget: time.Second, Deadline: time.Second})
	if held := r.coordinator.Stats().Held; held != 1 {
		t.Fatalf("%d slots are held, want 1", held)
	}
	hash := replicas.HashOf("a", 0)
	requests.Release(mesh.EndedRequest{Service: "s", Router: "other", Incarnation: 5, ID: 1}, admission.Usage{Replica: hash, Running: 2, Waiting: 1, Slots: 4})
	if held, available := r.coordinator.Stats().Held, r.available("s"); held != 0 || available[0].Load != 3 {
		t.Errorf("%d slots are held and the replica's load is %d, want 0 and 3", held, available[0].Load)
	}
}
