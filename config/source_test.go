package config

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/store"
)

// editWeight changes the weight of organisation red-0 and returns the new revision.
func editWeight(t *testing.T, e *Editor, base uint64, weight int) uint64 {
	t.Helper()
	text := organisation("red", 0, weight)
	done, err := e.Apply(context.Background(), red, []Edit{{Header: "organisation red-0", Base: base, Text: text}})
	if err != nil {
		t.Fatal(err)
	}
	return done.Revision
}

// Ten routers run, two of which watch the store. After a watcher stops, the next
// edit must reach the others and another router must become a watcher.
func TestChangesReachAllRouters(t *testing.T) {
	_, e, client := startEditor(t, 2)
	network := &testNetwork{routers: map[peridotusher.RouterID]*router{}}
	var routers []*router
	for n := range 10 {
		routers = append(routers, network.addRouter(t, "router-"+string(rune('a'+n)), client()))
	}
	waitRevision(t, 1, routers...)
	watching := func() (list []*router) {
		for _, r := range routers {
			if !r.disconnected && r.source.Status().Watching {
				list = append(list, r)
			}
		}
		return list
	}
	waitFor(t, "two watchers", func() bool { return len(watching()) == watchersPerZone })
	revision := editWeight(t, e, 1, 2)
	waitRevision(t, revision, routers...)
	first := watching()[0]
	first.stop()
	revision = editWeight(t, e, revision, 3)
	remaining := slices.DeleteFunc(slices.Clone(routers), func(r *router) bool { return r == first })
	waitRevision(t, revision, remaining...)
	for _, r := range remaining {
		o, _ := r.source.Document().Organisation("red-0")
		if diff := cmp.Diff(3.0, o.Weight()); diff != "" {
			t.Errorf("weight at %s (-want +got):\n%s", r.source.Self.ID(), diff)
		}
	}
	waitFor(t, "two watchers again", func() bool { return len(watching()) == watchersPerZone })
}

// A router that cannot read the store gets the document from its peer, in several
// chunks. It keeps the document while it is disconnected, and learns of a section
// that was removed meanwhile once it is connected again.
func TestStartFromPeersWithoutStore(t *testing.T) {
	_, e, client := startEditor(t, 1500)
	network := &testNetwork{routers: map[peridotusher.RouterID]*router{}}
	first := network.addRouter(t, "router-a", client())
	waitRevision(t, 1, first)
	second := network.addRouter(t, "router-b", unreadableStore{client()})
	waitRevision(t, 1, second)
	if diff := cmp.Diff(first.source.Document().Text(), second.source.Document().Text()); diff != "" {
		t.Errorf("text (-first +second):\n%s", diff)
	}
	network.setDisconnected(second, true)
	kept := second.source.Document()
	done, err := e.Apply(context.Background(), red, []Edit{{Header: "organisation red-3", Base: 1}})
	if err != nil {
		t.Fatal(err)
	}
	waitRevision(t, done.Revision, first)
	if second.source.Document() != kept {
		t.Error("a disconnected router changed its document")
	}
	network.setDisconnected(second, false)
	waitRevision(t, done.Revision, second)
	if _, ok := second.source.Document().Organisation("red-3"); ok {
		t.Error("the removed organisation is still there")
	}
	if _, ok := kept.Organisation("red-3"); !ok {
		t.Error("the document in use before the change was modified")
	}
	if diff := cmp.Diff("router-a", second.source.Status().Origin); diff != "" {
		t.Errorf("origin (-want +got):\n%s", diff)
	}
}

// The store is reset to an older state and then edited until its revision equals
// the one in force, with another state. Both must raise an alarm and change
// nothing; a replacement with a higher revision is adopted and clears the alarms.
func TestOlderStoreStateIsNotAdopted(t *testing.T) {
	s, e, client := startEditor(t, 1)
	old := s.Snapshot()
	network := &testNetwork{routers: map[peridotusher.RouterID]*router{}}
	r := network.addRouter(t, "router-a", client())
	revision := editWeight(t, e, 1, 2)
	waitRevision(t, revision, r)
	s.Restore(old)
	waitFor(t, "alarm", func() bool { return r.source.Status().Alarms[AlarmRewound] == 1 })
	o, _ := r.source.Document().Organisation("red-0")
	if diff := cmp.Diff([]float64{2, float64(revision)}, []float64{o.Weight(), float64(r.source.Revision())}); diff != "" {
		t.Errorf("weight and revision in force (-want +got):\n%s", diff)
	}
	other := newEditor(client())
	editWeight(t, other, 1, 7)
	waitFor(t, "alarm", func() bool { return r.source.Status().Alarms[AlarmDiverged] == revision })
	if _, err := other.Replace(context.Background(), operatorKey, []byte(r.source.Document().Text()), r.source.Revision()); err != nil {
		t.Fatal(err)
	}
	waitRevision(t, revision+1, r)
	waitFor(t, "end of the alarms", func() bool { return len(r.source.Status().Alarms) == 0 })
	o, _ = r.source.Document().Organisation("red-0")
	if diff := cmp.Diff(2.0, o.Weight()); diff != "" {
		t.Errorf("weight (-want +got):\n%s", diff)
	}
}

func TestStaleReadsChangeNothing(t *testing.T) {
	s, e, client := startEditor(t, 1)
	network := &testNetwork{routers: map[peridotusher.RouterID]*router{}}
	r := network.addRouter(t, "router-a", client())
	waitRevision(t, 1, r)
	s.Snapshot()
	revision := editWeight(t, e, 1, 2)
	waitRevision(t, revision, r)
	s.ServeStale(true)
	waitFor(t, "alarm", func() bool { return r.source.Status().Alarms[AlarmRewound] == 1 })
	s.ServeStale(false)
	waitFor(t, "end of the alarm", func() bool { return len(r.source.Status().Alarms) == 0 })
	if diff := cmp.Diff(revision, r.source.Revision()); diff != "" {
		t.Errorf("revision (-want +got):\n%s", diff)
	}
}

func TestInvalidDocumentIsRefused(t *testing.T) {
	_, e, client := startEditor(t, 1)
	network := &testNetwork{routers: map[peridotusher.RouterID]*router{}}
	r := network.addRouter(t, "router-a", client())
	waitRevision(t, 1, r)
	snap, err := e.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	bad := &Section{Header: "policy", Text: "[policy]\nunknown = 1\n", Version: 2}
	head := &Head{Revision: 2, Generation: snap.head.GetGeneration(), Hash: snap.hashAfter(difference{changed: []*Section{bad}})}
	writeUnchecked(t, client(), head, bad)
	waitFor(t, "alarm", func() bool { return r.source.Status().Alarms[AlarmRefused] == 2 })
	if diff := cmp.Diff(uint64(1), r.source.Revision()); diff != "" {
		t.Errorf("revision (-want +got):\n%s", diff)
	}
}

// writeUnchecked writes a section to a page of its own, and the head, without
// checking the document.
func writeUnchecked(t *testing.T, c *store.Client, head *Head, section *Section) {
	t.Helper()
	page, err := proto.Marshal(&Page{Sections: []*Section{section}})
	if err != nil {
		t.Fatal(err)
	}
	value, err := proto.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	puts := []store.Put{
		{Key: testPrefix + pageKey(head.GetGeneration(), pageCount), Value: page},
		{Key: testPrefix + headKey, Value: value},
	}
	if _, err := c.CompareAndSwapMany(context.Background(), nil, puts); err != nil {
		t.Fatal(err)
	}
}

// A delta since the old snapshot's revision, or since 0, applied to the old
// snapshot, must lead to the new document. A delta since a later revision must be
// refused.
func TestDeltasReproduceTheState(t *testing.T) {
	_, e, _ := startEditor(t, 2)
	ctx := context.Background()
	load := func() *Snapshot {
		snap, err := e.Load(ctx)
		if err != nil {
			t.Fatal(err)
		}
		return snap
	}
	old := load()
	editWeight(t, e, 1, 5)
	load()
	text := strings.Replace(string(testText(2)), organisation("blue", 1, 1), "", 1)
	text = strings.Replace(text, organisation("red", 0, 1), organisation("red", 0, 5), 1)
	if _, err := e.Replace(ctx, operatorKey, []byte(text), 0); err != nil {
		t.Fatal(err)
	}
	now := load()
	for _, since := range []uint64{0, 1, 2} {
		delta := now.delta(since, "")
		next, err := applyDifference(old, delta.GetHead(), old.differenceFromDelta(delta))
		if since == 2 {
			if !errors.Is(err, errHashMismatch) {
				t.Errorf("a delta since a later revision gave error %v, want errHashMismatch", err)
			}
			continue
		}
		if err != nil {
			t.Fatalf("since %d: %v", since, err)
		}
		if diff := cmp.Diff(now.Document().Text(), next.Document().Text()); diff != "" {
			t.Errorf("since %d, text (-want +got):\n%s", since, diff)
		}
	}
}
