package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
)

// bed is a table with a clock of its own.
type bed struct {
	*Table
	now time.Time
}

func newBed() *bed {
	b := &bed{now: time.Unix(1000, 0)}
	b.Table = NewTable(peridotusher.ClockFunc(func() time.Time { return b.now }))
	return b
}

func entry(id string, revision int64) Entry {
	return Entry{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 4, Born: 1, Revision: revision}
}

func ids(list []*Replica) []string {
	out := []string{}
	for _, r := range list {
		out = append(out, r.ID())
	}
	return out
}

func TestEntriesInAnyOrder(t *testing.T) {
	leaving, gone := entry("a", 5), entry("a", 7)
	leaving.Leaving, gone.Gone = true, true
	orders := [][]Entry{
		{entry("a", 3), leaving, gone},
		{gone, leaving, entry("a", 3)},
		{entry("a", 3), gone, leaving, entry("a", 3)},
	}
	for i, order := range orders {
		b := newBed()
		b.Offer([]Entry{entry("a", 2)})
		for _, e := range order {
			b.Offer([]Entry{e})
		}
		if got := ids(b.Ready("s")); len(got) != 0 {
			t.Errorf("order %d: %v is ready", i, got)
		}
	}
}

func TestSnapshotTakesMissingAsGone(t *testing.T) {
	b := newBed()
	b.Snapshot(10, []Entry{entry("a", 3), entry("b", 4)}, false)
	b.Snapshot(12, []Entry{entry("b", 4)}, false)
	if diff := cmp.Diff([]string{"b"}, ids(b.Ready("s"))); diff != "" {
		t.Errorf("ready (-want +got):\n%s", diff)
	}
	if _, ok := b.Source(HashOf("a", 1)); !ok {
		t.Error("a replica that has just gone is no source, though it may serve on")
	}
	// Another router's older word does not bring it back; a rebirth does.
	b.Offer([]Entry{entry("a", 3)})
	if n := len(b.Ready("s")); n != 1 {
		t.Errorf("%d replicas are ready after an old entry, want 1", n)
	}
	b.Offer([]Entry{entry("a", 13)})
	if n := len(b.Ready("s")); n != 2 {
		t.Errorf("%d replicas are ready after a rebirth, want 2", n)
	}
}

// TestLeavingReplicaHandsOn has a replica leave and go: it can be a source for a
// time that begins with the first of the two.
func TestLeavingReplicaHandsOn(t *testing.T) {
	b := newBed()
	b.Offer([]Entry{entry("a", 1)})
	source := func() bool {
		_, ok := b.Source(HashOf("a", 1))
		return ok
	}
	b.now = b.now.Add(time.Minute)
	if !source() {
		t.Error("a ready replica is no source")
	}
	leaving := entry("a", 2)
	leaving.Leaving = true
	b.Offer([]Entry{leaving})
	b.now = b.now.Add(handOnFor / 2)
	gone := entry("a", 3)
	gone.Gone = true
	b.Offer([]Entry{gone})
	if !source() {
		t.Error("a replica that left a short time ago is no source")
	}
	b.now = b.now.Add(handOnFor / 2)
	if source() {
		t.Error("a replica that left long ago is a source")
	}
	b.Offer([]Entry{entry("a", 4)})
	if !source() {
		t.Error("a replica that is ready again is no source")
	}
}

func TestGoneReplicasAreForgotten(t *testing.T) {
	b := newBed()
	b.Snapshot(10, []Entry{entry("a", 3)}, false)
	b.Snapshot(12, nil, false)
	b.Expire(time.Second)
	if n := len(b.Differing(make([]uint64, 1))); n != 1 {
		t.Errorf("%d entries right after the replica went, want 1", n)
	}
	b.now = b.now.Add(2 * tombstoneFor)
	b.Expire(time.Second)
	if n := len(b.Differing(make([]uint64, 1))); n != 0 {
		t.Errorf("%d entries after %v, want none", n, 2*tombstoneFor)
	}
}

func TestLapsedEntriesStayForAWhile(t *testing.T) {
	b := newBed()
	b.Snapshot(10, []Entry{entry("a", 3), entry("b", 4)}, false)
	b.Snapshot(20, nil, true) // the store was away
	if n := len(b.Ready("s")); n != 2 {
		t.Errorf("%d replicas are ready right after an outage, want 2", n)
	}
	b.Snapshot(22, []Entry{entry("a", 21)}, true)
	b.Snapshot(24, []Entry{entry("a", 21)}, false)
	if diff := cmp.Diff([]string{"a"}, ids(b.Ready("s"))); diff != "" {
		t.Errorf("ready after the outage (-want +got):\n%s", diff)
	}
}

func TestRebirthForgetsThePast(t *testing.T) {
	b := newBed()
	b.Offer([]Entry{entry("a", 3)})
	old := b.Ready("s")[0]
	old.Record(b.now, Misplaced)
	e := entry("a", 5)
	e.Born = 2
	b.Offer([]Entry{e})
	if r := b.Ready("s")[0]; r == old || r.Avoided(b.now) {
		t.Error("a replica that started again has the standing of its last start")
	}
}

func TestLoadsOfOtherRouters(t *testing.T) {
	b := newBed()
	b.Offer([]Entry{entry("a", 3)})
	a := b.Ready("s")[0]
	defer a.Hold()()
	b.Learn("r1", 1, []Count{{Replica: a.Hash(), Held: 3}, {Replica: 99, Held: 50}})
	b.Learn("r2", 1, []Count{{Replica: a.Hash(), Held: 2}})
	if a.Held() != 6 {
		t.Errorf("held = %d, want 6", a.Held())
	}
	b.Learn("r1", 1, []Count{{Replica: a.Hash(), Held: 1}})
	if a.Held() != 4 {
		t.Errorf("held = %d, want 4", a.Held())
	}
	b.Learn("r1", 1, nil)
	if a.Held() != 3 {
		t.Errorf("held = %d after a beat without the replica, want 3", a.Held())
	}
	const ttl = time.Second
	b.now = b.now.Add(2 * ttl)
	b.Expire(ttl)
	if a.Held() != 1 {
		t.Errorf("held = %d after the others fell silent, want 1", a.Held())
	}
}

// TestJudge lets replicas fail parts of their requests and checks who is avoided.
func TestJudge(t *testing.T) {
	tests := []struct {
		name   string
		fails  []int // of 10 requests, by replica
		router bool  // whether another router saw the outcomes
		avoid  int
	}{
		{"all sound", []int{0, 0, 0, 0, 0}, false, 0},
		{"usual errors everywhere", []int{2, 1, 2, 1, 2}, false, 0},
		{"one grey", []int{0, 6, 0, 0, 1}, false, 1},
		{"one grey, seen by another router", []int{0, 6, 0, 0, 1}, true, 1},
		{"all grey", []int{5, 5, 5, 5, 5}, false, 0},
		{"most grey", []int{8, 8, 8, 0, 0}, false, 2},
		{"one of three", []int{0, 9, 0}, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed()
			var entries []Entry
			for i := range tt.fails {
				entries = append(entries, entry(fmt.Sprint(i), 1))
			}
			b.Offer(entries)
			all := b.Ready("s")
			if tt.router {
				b.Learn("r1", 1, counts(all, nil))
				b.Learn("r1", 1, counts(all, tt.fails))
			} else {
				for i, r := range all {
					for n := range 10 {
						o := Good
						if n < tt.fails[i] {
							o = Failed
						}
						r.Record(b.now, o)
					}
				}
			}
			if got := len(Judge(b.now, all)); got != tt.avoid {
				t.Errorf("%d replicas are judged, want %d", got, tt.avoid)
			}
			sound := Sound(b.now, all)
			if got := len(all) - len(sound); got != tt.avoid {
				t.Errorf("%d replicas are avoided, want %d", got, tt.avoid)
			}
			b.now = b.now.Add(shortestBench + time.Millisecond)
			for _, r := range all {
				if r.Avoided(b.now) {
					t.Errorf("replica %s is still avoided after the bench", r.ID())
				}
			}
		})
	}
}

func counts(all []*Replica, fails []int) []Count {
	var out []Count
	for i, r := range all {
		c := Count{Replica: r.Hash()}
		if fails != nil {
			c.Good, c.Bad = uint32(10-fails[i]), uint32(fails[i])
		}
		out = append(out, c)
	}
	return out
}

func TestMisplacedIsAvoidedLonger(t *testing.T) {
	b := newBed()
	b.Offer([]Entry{entry("a", 1), entry("b", 1)})
	a := b.Ready("s")[0]
	var lengths []time.Duration
	for range 3 {
		a.Record(b.now, Misplaced)
		began := b.now
		for a.Avoided(b.now) {
			b.now = b.now.Add(10 * time.Millisecond)
		}
		lengths = append(lengths, b.now.Sub(began).Round(100*time.Millisecond))
	}
	want := []time.Duration{700 * time.Millisecond, 1400 * time.Millisecond, 2800 * time.Millisecond}
	if diff := cmp.Diff(want, lengths); diff != "" {
		t.Errorf("times avoided (-want +got):\n%s", diff)
	}
}

// TestCutZone has a zone whose replicas cannot be reached any more: after two of
// them the others get no requests either, until connections succeed again.
func TestCutZone(t *testing.T) {
	b := newBed()
	var entries []Entry
	for i := range 9 {
		e := entry(fmt.Sprint(i), 1)
		e.Zone = []string{"a", "b", "c"}[i%3]
		entries = append(entries, e)
	}
	b.Offer(entries)
	all := b.Ready("s")
	if lost := b.Lose(all[0]); len(lost) != 1 {
		t.Fatalf("%d replicas are lost after one failed connection, want 1", len(lost))
	}
	all[6].Record(b.now, Good)
	b.Lose(all[3])
	if diff := cmp.Diff([]string{"1", "2", "4", "5", "6", "7", "8"}, ids(Sound(b.now, all))); diff != "" {
		t.Errorf("chosen from with an answer of 6 (-want +got):\n%s", diff)
	}
	b.now = b.now.Add(2 * answeredLately)
	all[0].Reached(b.now)
	if lost := b.Lose(all[0]); len(lost) != 2 {
		t.Errorf("%d replicas are lost after the zone fell silent, want 2", len(lost))
	}
	if got := len(b.Due()); got != 3 {
		t.Errorf("connections are tried to %d replicas, want 3", got)
	}
	if got := len(b.Due()); got != 0 {
		t.Errorf("connections are tried again at once to %d replicas", got)
	}
	for _, r := range all {
		r.Reached(b.now)
	}
	if got := len(Sound(b.now, all)); got != len(all) {
		t.Errorf("%d of %d replicas are chosen from after the cut", got, len(all))
	}
}

// TestReportsInAWideFleet takes loads from what replicas tell instead of from
// counts that are many seconds old.
func TestReportsInAWideFleet(t *testing.T) {
	b := newBed()
	b.Offer([]Entry{entry("a", 3), entry("b", 3)})
	a, other := b.Ready("s")[0], b.Ready("s")[1]
	defer a.Hold()()
	b.Learn("r1", 1, []Count{{Replica: a.Hash(), Held: 3}, {Replica: other.Hash(), Held: 2}})
	a.Told(b.now, 9)
	b.Expire(time.Minute)
	if a.Held() != 4 || len(b.Reports(10)) != 0 {
		t.Errorf("held = %d with %d reports in a small fleet, want 4 and none", a.Held(), len(b.Reports(10)))
	}
	b.SetWide(true)
	b.Expire(time.Minute)
	if a.Held() != 9 || other.Held() != 2 {
		t.Errorf("held = %d and %d, want 9 as told and 2 as counted", a.Held(), other.Held())
	}
	release := a.Hold()
	if a.Held() != 10 {
		t.Errorf("held = %d after one more of its own, want 10", a.Held())
	}
	release()
	b.now = b.now.Add(reportTTL / 2)
	if diff := cmp.Diff([]Report{{Replica: a.Hash(), Load: 9, Age: reportTTL / 2}}, b.Reports(10)); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
	b.HearReports([]Report{{Replica: a.Hash(), Load: 30, Age: reportTTL}, {Replica: other.Hash(), Load: 5}})
	b.Expire(time.Minute)
	if a.Held() != 9 || other.Held() != 5 {
		t.Errorf("held = %d and %d after an old and a new report, want 9 and 5", a.Held(), other.Held())
	}
	b.now = b.now.Add(2 * reportTTL)
	b.Expire(time.Minute)
	if a.Held() != 4 || other.Held() != 2 {
		t.Errorf("held = %d and %d after the reports grew old, want 4 and 2", a.Held(), other.Held())
	}
}

// TestCountsOfTheLastMoments has a router with requests at some of many replicas:
// it tells where it has requests or saw outcomes a moment ago, in a wide fleet of
// the latest ones only.
func TestCountsOfTheLastMoments(t *testing.T) {
	const many, told = 40, time.Second
	b := newBed()
	var entries []Entry
	for i := range many {
		entries = append(entries, entry(fmt.Sprint("i", i), 1))
	}
	b.Offer(entries)
	ready := b.Ready("s")
	defer ready[0].Hold()()
	ready[1].Record(b.now, Good)
	b.now = b.now.Add(2 * told)
	ready[2].Record(b.now, Failed)
	want := []Count{{Replica: ready[2].Hash(), Bad: 1}, {Replica: ready[0].Hash(), Held: 1}}
	if diff := cmp.Diff(want, b.Counts(told)); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	for _, r := range ready {
		r.Record(b.now, Good)
	}
	if n := len(b.Counts(told)); n != many {
		t.Errorf("%d counts are told, want %d", n, many)
	}
	b.SetWide(true)
	if n := len(b.Counts(told)); n != countsWide {
		t.Errorf("%d counts are told in a wide fleet, want %d", n, countsWide)
	}
}

// TestDifferingEntries has two tables of a large service that differ in one
// replica: only a small part of the entries passes between them.
func TestDifferingEntries(t *testing.T) {
	const many = 3000
	ahead, behind := newBed(), newBed()
	var entries []Entry
	for i := range many {
		entries = append(entries, entry(fmt.Sprint("i", i), 1))
	}
	ahead.Offer(entries)
	behind.Offer(entries)
	if got := ahead.Differing(behind.Parts()); len(got) != 0 {
		t.Errorf("%d entries of equal tables differ", len(got))
	}
	leaving := entry("i7", 2)
	leaving.Leaving = true
	ahead.Offer([]Entry{leaving})
	got := ahead.Differing(behind.Parts())
	if len(got) == 0 || len(got) > 2*many/partCount {
		t.Errorf("%d entries are handed over for one change", len(got))
	}
	behind.Offer(got)
	if ahead.Digest() != behind.Digest() {
		t.Error("the tables still differ")
	}
	if n := len(ahead.Differing(newBed().Parts())); n != many {
		t.Errorf("an empty table gets %d of %d entries", n, many)
	}
	if n := len(ahead.Differing(nil)); n != 0 {
		t.Errorf("%d entries are handed over that nobody wants", n)
	}
}
