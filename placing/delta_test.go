package placing

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// fakeClock is a clock that a test sets.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

var _ peridotusher.Clock = (*fakeClock)(nil)

// keepAll keeps the placements at every replica in a snapshot.
func keepAll(uint32) bool { return true }

func TestMissedPlacements(t *testing.T) {
	r1, restarted := Origin{"r1", 1}, Origin{"r1", 2}
	placements := func(keys ...uint64) []Placement {
		var out []Placement
		for _, key := range keys {
			out = append(out, Placement{key, 7})
		}
		return out
	}
	type message struct {
		from  Origin
		delta Delta
	}
	tests := []struct {
		name     string
		received []message
		want     bool
	}{
		{"empty delta", []message{{r1, Delta{}}}, false},
		{"all since the start", []message{{r1, Delta{placements(1, 2), 2}}, {r1, Delta{placements(2, 3), 3}}}, false},
		{"nothing new", []message{{r1, Delta{placements(1, 2), 2}}, {r1, Delta{nil, 2}}}, false},
		{"out of order", []message{{r1, Delta{placements(1, 2, 3), 3}}, {r1, Delta{placements(2), 2}}}, false},
		{"started later than the other", []message{{r1, Delta{nil, 40}}}, true},
		{"gap", []message{{r1, Delta{placements(1), 1}}, {r1, Delta{placements(3), 3}}}, true},
		{"gap, then a complete delta", []message{{r1, Delta{placements(3), 3}}, {r1, Delta{placements(4), 4}}}, true},
		{"restart", []message{{r1, Delta{placements(1), 1}}, {restarted, Delta{placements(2), 1}}}, false},
		{"gap after a restart", []message{{r1, Delta{placements(1), 1}}, {restarted, Delta{placements(2), 5}}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := NewDirectory(&fakeClock{time.Unix(100, 0)}, Origin{"r0", 1})
			for _, m := range test.received {
				d.Merge(m.from, m.delta)
			}
			if got := d.Stale("r1"); got != test.want {
				t.Errorf("stale = %v, want %v", got, test.want)
			}
		})
	}
}

// TestRestartedRouterKnowsHolders simulates the restart of a router. It restores the snapshot of
// another router, and then must not count placements of a third one as missed.
func TestRestartedRouterKnowsHolders(t *testing.T) {
	clock := &fakeClock{time.Unix(100, 0)}
	r1, r2 := Origin{"r1", 1}, Origin{"r2", 1}
	first, second := NewDirectory(clock, r1), NewDirectory(clock, r2)
	for key := range uint64(300) {
		first.Place(Placement{key, uint32(key % 5)})
		second.Merge(r1, first.Recent(time.Second))
	}
	second.Place(Placement{1000, 3})
	restarted := NewDirectory(clock, Origin{"r0", 2})
	clock.now = clock.now.Add(time.Minute)
	restarted.Merge(r1, first.Recent(time.Second))
	if !restarted.Stale("r1") || len(restarted.Holders(7)) != 0 || restarted.HoldsAny(2) {
		t.Fatal("the restarted router knows placements that it has not received")
	}
	restarted.Restore(second.Snapshot(keepAll))
	if restarted.Stale("r1") || restarted.Stale("r2") {
		t.Error("placements count as missed after a snapshot was restored")
	}
	for key := range uint64(300) {
		if diff := cmp.Diff([]uint32{uint32(key % 5)}, restarted.Holders(key)); diff != "" {
			t.Fatalf("holders of %d (-want +got):\n%s", key, diff)
		}
	}
	if !restarted.HoldsAny(3) {
		t.Error("replica 3 is not known to hold a part")
	}
}

func TestSnapshotOmitsMissedAndExpired(t *testing.T) {
	clock := &fakeClock{time.Unix(100, 0)}
	d := NewDirectory(clock, Origin{"r0", 1})
	d.Place(Placement{1, 10})
	d.Place(Placement{2, 11})
	d.Merge(Origin{"r1", 1}, Delta{Sequence: 9}) // placements 1 to 9 were missed
	d.Merge(Origin{"r2", 1}, Delta{[]Placement{{3, 10}}, 1})
	got := d.Snapshot(func(replica uint32) bool { return replica != 11 })
	slices.SortFunc(got.Placements, func(a, b Placement) int { return int(a.Key) - int(b.Key) })
	want := Snapshot{
		Placements: []Placement{{1, 10}, {3, 10}},
		Versions:   []Version{{Origin{"r0", 1}, 2}, {Origin{"r2", 1}, 1}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("snapshot (-want +got):\n%s", diff)
	}
	// An older snapshot must not hide that later placements were missed.
	d.Restore(Snapshot{Versions: []Version{{Origin{"r1", 1}, 8}}})
	if !d.Stale("r1") {
		t.Error("a snapshot from before the gap cleared it")
	}
	clock.now = clock.now.Add(2 * cacheTTL)
	if got := d.Snapshot(keepAll); len(got.Placements) != 0 {
		t.Errorf("expired placements are in the snapshot: %v", got.Placements)
	}
}

// TestIndexedPlacementsAreNotPublished places parts in an indexed directory and in one that is
// not. Only the latter publishes the placements; both record them.
func TestIndexedPlacementsAreNotPublished(t *testing.T) {
	for _, indexed := range []bool{false, true} {
		d := NewDirectory(peridotusher.ClockFunc(time.Now), Origin{Name: "r0", Incarnation: 1})
		d.SetIndexed(indexed)
		placed := []Placement{{1, 10}, {2, 11}}
		for _, p := range placed {
			d.Place(p)
		}
		var want []Placement
		if !indexed {
			want = placed
		}
		if diff := cmp.Diff(want, d.Recent(time.Minute).Placements); diff != "" {
			t.Errorf("indexed %v, published (-want +got):\n%s", indexed, diff)
		}
		if len(d.Holders(1)) != 1 || len(d.Holders(2)) != 1 {
			t.Errorf("indexed %v: holders %v and %v", indexed, d.Holders(1), d.Holders(2))
		}
	}
}

// TestQueriedPartsDoNotExpire has other routers query a part repeatedly, for longer than
// cacheTTL. A part that is not queried expires.
func TestQueriedPartsDoNotExpire(t *testing.T) {
	clock := &fakeClock{time.Unix(100, 0)}
	d := NewDirectory(clock, Origin{Name: "r0", Incarnation: 1})
	d.Record(SentToNewHolder, []Placement{{1, 10}, {1, 11}, {2, 10}})
	for range 4 {
		clock.now = clock.now.Add(cacheTTL / 2)
		if diff := cmp.Diff([]CacheHolder{{Replica: 10}, {Replica: 11}}, d.TouchHolders(1)); diff != "" {
			t.Errorf("assigned (-want +got):\n%s", diff)
		}
	}
	if got := d.TouchHolders(2); len(got) != 0 {
		t.Errorf("a part that was not queried still has the holders %v", got)
	}
	for range 4 {
		d.Record(SentToHolder, []Placement{{1, 11}})
	}
	if diff := cmp.Diff([]CacheHolder{{Replica: 10}, {Replica: 11, Recent: 4}}, d.TouchHolders(1)); diff != "" {
		t.Errorf("assigned after four prompts (-want +got):\n%s", diff)
	}
	clock.now = clock.now.Add(recentHalfLife)
	if diff := cmp.Diff([]CacheHolder{{Replica: 10}, {Replica: 11, Recent: 2}}, d.TouchHolders(1)); diff != "" {
		t.Errorf("assigned a half-life later (-want +got):\n%s", diff)
	}
	if delta := d.Recent(time.Hour); len(delta.Placements) != 0 {
		t.Errorf("placements of other routers are published again: %v", delta.Placements)
	}
}

// TestReadsAreReported has a router report that a replica reads a part. Other routers see it as
// reading until the read ends or readsTTL has passed.
func TestReadsAreReported(t *testing.T) {
	clock := &fakeClock{time.Unix(100, 0)}
	d := NewDirectory(clock, Origin{Name: "r0", Incarnation: 1})
	p := []Placement{{1, 10}}
	steps := []struct {
		name string
		do   func()
		want bool
	}{
		{"sent", func() { d.Record(SentToNewHolder, p) }, false},
		{"reads", func() { d.Record(ReadStarted, p) }, true},
		{"the read ends", func() { d.Record(ReadEnded, p) }, false},
		{"reads again", func() { d.Record(ReadStarted, p) }, true},
		{"no report within readsTTL", func() { clock.now = clock.now.Add(readsTTL) }, false},
	}
	for _, s := range steps {
		s.do()
		if got := d.TouchHolders(1); len(got) != 1 || got[0].Reading != s.want {
			t.Errorf("%s: assigned %+v, want reading %v", s.name, got, s.want)
		}
	}
}
