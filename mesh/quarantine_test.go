package mesh

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/replicas"
)

// TestQuarantineIsPublishedAtOnce has a router publish a crash, which the others receive without a
// wait for heartbeats.
func TestQuarantineIsPublishedAtOnce(t *testing.T) {
	nodes, states := startNodes(t, 3)
	awaitAlive(nodes)
	nodes[0].PublishQuarantine(sampleQuarantine)
	nodes[0].PublishQuarantine(quarantine.Update{})
	time.Sleep(heartbeatInterval / 2)
	for i, s := range states[1:] {
		s.mu.Lock()
		if diff := cmp.Diff(sampleQuarantine, s.quarantine); diff != "" {
			t.Errorf("quarantine at router %d (-want +got):\n%s", i+1, diff)
		}
		s.mu.Unlock()
	}
}

// TestChangesWithUnknownFields guards against routers of an earlier build that reject what they
// do not know of a message with changes.
func TestChangesWithUnknownFields(t *testing.T) {
	entries := sampleHeartbeat().Changes
	body := append(marshalQuarantine(sampleQuarantine), marshalChanges(entries)...)
	limits := sampleHeartbeat().Limits
	body = appendLimits(body, changeLimit, limits)
	body = appendBytes(body, changeLimit+1, []byte("later"))
	got, err := unmarshalChanges(body)
	if err != nil {
		t.Fatal(err)
	}
	want := changes{entries: entries, quarantine: sampleQuarantine, limits: limits}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(changes{}), cmp.AllowUnexported(replicas.Entry{})); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}
