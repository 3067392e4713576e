package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/examples"
)

// TestDepartures guards against planned exits of engines and replicas that count as crashes.
func TestDepartures(t *testing.T) {
	engines := peridotusher.NewEngines()
	engines.SetListed([]peridotusher.Engine{
		peridotusher.NewEngine("live", "a", "127.0.0.1:1"),
		peridotusher.NewEngine("leaving", "a", "127.0.0.1:2").WithState(peridotusher.EngineLeaving),
	})
	got := make(map[string]bool)
	for _, id := range []peridotusher.EngineID{"live", "leaving", "unlisted"} {
		got[string(id)] = isDeparting(engines, id)
	}
	before, after := parseReplicas(t, "127.0.0.1:3@a, 127.0.0.1:4@b"), parseReplicas(t, "127.0.0.1:4@b")
	profiles, _ := before.Service("profiles")
	for _, r := range profiles.Replicas() {
		got[r.Address()] = hasDeparted(after, r)
		got["without a configuration"] = hasDeparted(nil, r)
	}
	want := map[string]bool{
		"live": false, "leaving": true, "unlisted": true,
		"127.0.0.1:3": true, "127.0.0.1:4": false, "without a configuration": false,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("departed (-want +got):\n%s", diff)
	}
}

// parseReplicas returns a configuration with these replicas of the service.
func parseReplicas(t *testing.T, list string) *document.Document {
	t.Helper()
	doc, problems := document.Parse("test.ini", examples.WithReplicas(examples.Kalimera, list))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return doc
}
