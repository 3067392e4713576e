package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/replicas"
)

// testRegistry is a Registry with one answer.
type testRegistry struct {
	entry replicas.Entry
	err   error
	lag   time.Duration
}

func (g testRegistry) Entry(context.Context, *replicas.Replica) (replicas.Entry, error) {
	return g.entry, g.err
}

func (g testRegistry) Lag() time.Duration { return g.lag }

// endingReplica is a script of replica a, which closes its listener before it answers.
func endingReplica(b **fixture, leaving bool, answer string) script {
	return func(c net.Conn, r *http.Request, body string) bool {
		if leaving {
			replica, _ := (*b).proxy.Table.Find(replicas.HashOf("a", 0))
			(*b).proxy.Table.MarkLeaving(replica)
			time.Sleep(10 * time.Millisecond)
		}
		(*b).closeListener("a")
		return respond(answer, false)(c, r, body)
	}
}

// TestDepartureLearnedLate guards against complete answers that are cut off because the router learned of
// their replica's departure later than the platform, or not yet, when the replica exits right after its
// drain time.
func TestDepartureLearnedLate(t *testing.T) {
	two := event(1) + event(2)
	leaving := replicas.Entry{ID: "a", Leaving: true}
	tests := []struct {
		name     string
		leaving  bool // as the router knows
		registry testRegistry
		complete bool
	}{
		{"learned late", true, testRegistry{entry: leaving, lag: time.Minute}, true},
		{"not learned, leaving", false, testRegistry{entry: leaving}, true},
		{"not learned, removed", false, testRegistry{entry: replicas.Entry{ID: "a", Removed: true}}, true},
		{"learned, removed since", true, testRegistry{entry: replicas.Entry{ID: "a", Removed: true}}, true},
		{"learned, still to serve", true, testRegistry{entry: leaving}, false},
		{"crashed", false, testRegistry{entry: replicas.Entry{ID: "a"}}, false},
		{"crashed, another start leaves", false, testRegistry{entry: replicas.Entry{ID: "a", StartedAt: 9, Leaving: true}}, false},
		{"unknown", false, testRegistry{entry: leaving, err: errors.New("no store")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b *fixture
			b = newFixture(t, streaming, endingReplica(&b, tt.leaving, closeHead+two))
			b.proxy.DrainTime = func() time.Duration { return time.Minute }
			b.proxy.Registry = tt.registry
			_, body, complete := b.send(post("Content-Length: 0\r\n", ""))
			if body != two || complete != tt.complete {
				t.Errorf("stream %q, complete %v, want %v", body, complete, tt.complete)
			}
		})
	}
}

// TestExitInsideDrainTime guards against broken answers that look complete because the end of the replica counts as a planned exit.
func TestExitInsideDrainTime(t *testing.T) {
	leaving, removed := replicas.Entry{ID: "a", Leaving: true}, replicas.Entry{ID: "a", Removed: true}
	tests := []struct {
		name     string
		leaving  bool // as the router knows
		entry    replicas.Entry
		readyAgo time.Duration // when the replica was ready; 0 if unknown
		complete bool
		lag      time.Duration // of the registry
	}{
		{"leaving", true, leaving, time.Second, false, time.Minute},
		{"leaving, drain time over", true, leaving, time.Minute, true, time.Minute},
		{"leaving, drain time over, learned late", true, leaving, time.Minute, true, time.Second},
		{"leaving, unknown when ready", true, leaving, 0, true, time.Minute},
		{"removed", true, removed, time.Second, false, time.Minute},
		{"not learned, leaving", false, leaving, time.Second, false, time.Minute},
		{"not learned, leaving, drain time over", false, leaving, time.Minute, true, time.Minute},
		{"not learned, removed", false, removed, time.Second, false, time.Minute},
		{"not learned, removed, drain time over", false, removed, time.Minute, true, time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b *fixture
			b = newFixture(t, streaming, endingReplica(&b, tt.leaving, closeHead+event(1)))
			b.proxy.DrainTime = func() time.Duration { return time.Minute }
			b.proxy.Registry = testRegistry{entry: tt.entry, lag: tt.lag}
			if tt.readyAgo > 0 {
				b.proxy.Table.RecordAllReady(b.proxy.Clock.Now().Add(-tt.readyAgo))
			}
			if _, body, complete := b.send(post("Content-Length: 0\r\n", "")); body != event(1) || complete != tt.complete {
				t.Errorf("stream %q, complete %v, want %v", body, complete, tt.complete)
			}
		})
	}
}

// TestDepartureOfReplacedRecord guards against a planned exit that counts as a crash because the entry of
// the replica, and with it the router's record, has changed since the request was sent.
func TestDepartureOfReplacedRecord(t *testing.T) {
	var b *fixture
	b = newFixture(t, streaming, func(c net.Conn, r *http.Request, body string) bool {
		replica, _ := b.proxy.Table.Find(replicas.HashOf("a", 0))
		changed := replicas.Entry{ID: "a", Service: "s", Address: replica.Address(), Zone: "a", Slots: 9, Revision: 2}
		b.proxy.Table.Merge([]replicas.Entry{changed})
		return endingReplica(&b, true, closeHead+event(1))(c, r, body)
	})
	b.proxy.DrainTime = func() time.Duration { return time.Millisecond }
	if _, body, complete := b.send(post("Content-Length: 0\r\n", "")); body != event(1) || !complete {
		t.Errorf("stream %q, complete %v, want a complete one", body, complete)
	}
}

// TestLeavingWhileWaiting guards against requests that reach a replica after its drain time: it begins to
// leave after it was chosen, while the request waits for another one's read.
func TestLeavingWhileWaiting(t *testing.T) {
	b := newFixture(t, streaming, resumeAfter, resumeAfter)
	r, _ := b.proxy.Table.Find(replicas.HashOf("a", 0))
	b.proxy.Table.MarkLeaving(r)
	doc := b.proxy.Current.Load()
	for _, tt := range []struct {
		name  string
		tried map[string]bool
		want  bool
	}{
		{"another replica is ready", map[string]bool{"a": true}, true},
		{"the other one was tried", map[string]bool{"a": true, "b": true}, false},
	} {
		task := &task{proxy: b.proxy, doc: doc, route: doc.Routes[0], serviceName: "s", tried: tt.tried}
		if diff := cmp.Diff(tt.want, task.hasBecomeUnusable(r, b.proxy.Clock.Now())); diff != "" {
			t.Errorf("%s: unusable (-want +got):\n%s", tt.name, diff)
		}
	}
}

// TestPlannedExitIsNoCrash guards against a quarantine of prompts whose requests arrived at a replica
// just before its planned exit.
func TestPlannedExitIsNoCrash(t *testing.T) {
	for name, tt := range map[string]struct {
		entry   replicas.Entry
		crashes uint64
	}{
		"crash":        {replicas.Entry{ID: "a"}, 1},
		"planned exit": {replicas.Entry{ID: "a", Removed: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var b *fixture
			b = newFixture(t, streaming, endingReplica(&b, false, ""))
			b.proxy.Quarantine = tableQuarantine{quarantine.NewTable(b.proxy.Clock)}
			b.proxy.Registry = testRegistry{entry: tt.entry}
			b.sendPrompt("a bb own")
			crashes := b.counters.GetOrCreateCounter("peridotusher_crashes_total").Get()
			if diff := cmp.Diff(tt.crashes, crashes); diff != "" {
				t.Errorf("crashes (-want +got):\n%s", diff)
			}
		})
	}
}
