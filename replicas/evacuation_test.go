package replicas

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// evacuation returns a state of zone z.
func evacuation(epoch, revision int64, active bool) Evacuation {
	return Evacuation{Zone: "z", Active: active, Epoch: epoch, Revision: revision}
}

// TestRoutersAgreeOnEvacuations has routers receive the same history across two restores of
// the store, whose backups have lower or higher revisions, each router in a random order and
// everything twice: all agree on the state that was written last in the last epoch.
func TestRoutersAgreeOnEvacuations(t *testing.T) {
	const seeds, routers = 500, 4
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var history []Evacuation
		for epoch, revision := int64(1), int64(40); epoch <= 3; epoch++ {
			revision += int64(rnd.IntN(60)) - 30 // the backup may be old, or many revisions may follow it
			for range 1 + rnd.IntN(4) {
				revision += 1 + int64(rnd.IntN(4))
				history = append(history, evacuation(epoch, revision, rnd.IntN(2) == 0))
			}
		}
		want := history[len(history)-1]
		for range routers {
			table := newTestTable()
			table.Merge([]Entry{entry("a", 1)})
			for _, i := range append(rnd.Perm(len(history)), rnd.Perm(len(history))...) {
				table.MergeEvacuations([]Evacuation{history[i]})
			}
			if got := table.evacuations["z"].Evacuation; got != want ||
				table.Evacuated("z") != want.Active || len(table.Ready("s")) == 1 == want.Active {
				t.Fatalf("seed %d: %+v with %d ready, want %+v, after %+v",
					seed, got, len(table.Ready("s")), want, history)
			}
		}
	}
}

// TestEvacuationSnapshots merges complete lists of the store's evacuations: an evacuation that
// is missing has ended, unless it is known to be later than the list.
func TestEvacuationSnapshots(t *testing.T) {
	position := func(epoch, revision int64) peridotusher.Position {
		return peridotusher.Position{Epoch: epoch, Revision: revision}
	}
	tests := []struct {
		name   string
		known  Evacuation
		at     peridotusher.Position
		listed []Evacuation
		active bool
	}{
		{"still listed", evacuation(1, 60, true), position(1, 70), []Evacuation{evacuation(1, 60, true)}, true},
		{"missing", evacuation(1, 60, true), position(1, 70), nil, false},
		{"list read before it began", evacuation(1, 60, true), position(1, 59), nil, true},
		{"missing after a restore", evacuation(1, 60, true), position(2, 50), nil, false},
		{"missing in a list from before the restore", evacuation(2, 50, true), position(1, 90), nil, true},
		{
			"ended, listed again after a restore", evacuation(1, 90, false), position(2, 50),
			[]Evacuation{evacuation(2, 30, true)}, true,
		},
		{
			"ended, in an earlier list", evacuation(1, 90, false), position(1, 80),
			[]Evacuation{evacuation(1, 30, true)}, false,
		},
	}
	for _, tt := range tests {
		table := newTestTable()
		table.MergeEvacuations([]Evacuation{tt.known})
		changed := table.MergeEvacuationSnapshot(tt.at, tt.listed)
		if got := table.Evacuated("z"); got != tt.active || (len(changed) > 0) != (tt.active != tt.known.Active) {
			t.Errorf("%s: in force %v with changes %v, want %v", tt.name, got, changed, tt.active)
		}
	}
}

// TestEvacuatedZone evacuates one of two zones: its replicas get no requests but keep their
// state, and they are cold when the evacuation ends.
func TestEvacuatedZone(t *testing.T) {
	table := newColdTestTable()
	far := entry("b", 2)
	far.Zone = "y"
	table.Merge([]Entry{entry("a", 1), far})
	digest, parts := table.Digest(), table.BucketDigests()
	table.MergeEvacuations([]Evacuation{evacuation(0, 5, true), {Zone: "nowhere", Active: true, Revision: 6}})
	if diff := cmp.Diff([][]string{{"b"}, {"a"}},
		[][]string{ids(table.Ready("s")), ids(table.Withheld("s"))}); diff != "" {
		t.Errorf("ready and withheld (-want +got):\n%s", diff)
	}
	if _, ok := table.Source(HashOf("a", 1)); !ok || table.Count() != 2 {
		t.Error("an evacuated replica is not a source, or not counted")
	}
	if table.Digest() != digest || !cmp.Equal(table.BucketDigests(), parts) {
		t.Error("the digests changed with the evacuation")
	}
	table.Merge([]Entry{entry("c", 6)})
	if diff := cmp.Diff([]string{"b"}, ids(table.Ready("s"))); diff != "" {
		t.Errorf("ready after a replica started in the zone (-want +got):\n%s", diff)
	}
	table.MergeEvacuations([]Evacuation{
		evacuation(0, 9, false), evacuation(0, 5, true), evacuation(0, 9, false), evacuation(0, 11, false),
	})
	if diff := cmp.Diff([]string{"a", "b", "c"}, ids(table.Ready("s"))); diff != "" {
		t.Errorf("ready after the end of the evacuation (-want +got):\n%s", diff)
	}
	if r, ok := table.Find(HashOf("a", 1)); !ok || r.ColdRemaining(table.now) != coldTime {
		t.Error("a replica gets its full load at once after the evacuation")
	}
}

// TestEvacuationEndsArePublished has an evacuation end: the end is published for a minute, with
// its age so that it does not circulate between routers forever, and again when a router
// publishes that the zone is still evacuated.
func TestEvacuationEndsArePublished(t *testing.T) {
	table, late := newTestTable(), newColdTestTable()
	table.MergeEvacuations([]Evacuation{evacuation(0, 5, true)})
	table.now = table.now.Add(time.Hour)
	if published := table.Evacuations(); len(published) != 1 || published[0].Age != time.Hour {
		t.Fatalf("published %+v of an evacuation in force for an hour", published)
	}
	table.MergeEvacuations([]Evacuation{evacuation(0, 9, false)})
	table.now = table.now.Add(endPublishTTL - time.Second)
	late.Merge([]Entry{entry("a", 1)})
	late.MergeEvacuations(table.Evacuations())
	if r, ok := late.Find(HashOf("a", 1)); !ok || r.ColdRemaining(late.now) == 0 {
		t.Error("a router that did not know of the evacuation gives the zone its full load at once")
	}
	for _, router := range []*testTable{table, late} {
		if published := router.Evacuations(); len(published) != 1 || published[0].Active ||
			published[0].Age != endPublishTTL-time.Second {
			t.Errorf("published %+v after the end", published)
		}
		router.now = router.now.Add(2 * time.Second)
		if published := router.Evacuations(); len(published) > 0 {
			t.Errorf("published %+v long after the end", published)
		}
	}
	if changed := table.MergeEvacuations([]Evacuation{evacuation(0, 5, true)}); len(changed) > 0 ||
		table.Evacuated("z") {
		t.Error("a router that missed the end started the evacuation again")
	}
	if published := table.Evacuations(); len(published) != 0 && published[0].Active || len(published) == 0 {
		t.Errorf("published %+v to a router that missed the end", published)
	}
}

// TestManyEvacuations has evacuations of many zones end: the number of kept records is bounded,
// and an evacuation in force is not removed.
func TestManyEvacuations(t *testing.T) {
	table := newTestTable()
	table.MergeEvacuations([]Evacuation{evacuation(0, 1, true)})
	for i := range 2 * maxEvacuations {
		table.now = table.now.Add(time.Second)
		table.MergeEvacuations([]Evacuation{{Zone: fmt.Sprint(i), Revision: int64(i)}})
	}
	if n := len(table.evacuations); n != maxEvacuations || !table.Evacuated("z") {
		t.Errorf("%d zones are kept, the one in force: %v", n, table.Evacuated("z"))
	}
}
