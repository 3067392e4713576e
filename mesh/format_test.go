package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

// TestHeartbeatOfAnotherFormat guards against misread fields: only the fields that are the same in
// every format are decoded from a heartbeat of another format.
func TestHeartbeatOfAnotherFormat(t *testing.T) {
	sent := sampleHeartbeat()
	sent.Format = format + 1
	data := appendBytes(sent.marshal(), heartbeatCounts, []byte{1, 2}) // not a valid count in this format
	var got Heartbeat
	if err := got.unmarshal(data); err != nil {
		t.Fatal(err)
	}
	sent.Member.Address = ""
	want := Heartbeat{Member: sent.Member, Stopping: true, Ready: true, Known: sent.Known, Uptime: sent.Uptime, RouterCount: sent.RouterCount, Format: sent.Format}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("heartbeat (-want +got):\n%s", diff)
	}
}

// TestOtherFormatsAreNotRanked has a router in one zone with routers of another format: it is the
// first one of its own format for every topic.
func TestOtherFormatsAreNotRanked(t *testing.T) {
	clock := peridotusher.ClockFunc(time.Now)
	n := &Node{Self: Member{Name: "r0", Zone: "a"}, Clock: clock}
	n.Init()
	for _, name := range []string{"r1", "r2", "r3", "r4"} {
		n.members.receive(&Heartbeat{Member: Member{Name: name, Zone: "a", Address: name + ":1", Incarnation: 1}, Ready: true, Format: format + 1})
	}
	for _, topic := range []string{"list", "configuration", "parts/i-1", "parts/i-2"} {
		if rank := n.Rank(topic); rank != 0 {
			t.Errorf("rank %d for %s among routers of another format", rank, topic)
		}
	}
	if diff := cmp.Diff(ZoneCount{Ready: 4, All: 5}, n.CountZone()); diff != "" {
		t.Errorf("zone (-want +got):\n%s", diff)
	}
}

// TestFetchFromAnotherFormat checks fetches between routers of different formats: the response holds
// only the format, and the requester rejects it.
func TestFetchFromAnotherFormat(t *testing.T) {
	otherFormat := SyncResponse{Format: format + 1, Entries: []replicas.Entry{{ID: "i-1"}}}
	data, err := otherFormat.marshal(&compressionCache{})
	if err != nil {
		t.Fatal(err)
	}
	l := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := peridotusher.ClockFunc(time.Now)
	responder := &Node{Self: Member{Name: "responder"}, State: &testState{version: 7}, Clock: clock, Log: discard{}}
	responder.Init()
	var group errgroup.Group
	group.Go(func() error { return responder.serve(ctx, l) })
	requester := &Node{Self: Member{Name: "requester"}, State: &testState{}, Clock: clock, Log: discard{}}
	requester.Init()
	a, err := requester.fetch(ctx, l.Addr().String(), SyncRequest{})
	if err != nil || a.Version != 7 {
		t.Errorf("response to a router of the same format: %v, %v", a, err)
	}
	if _, err := unmarshalResponse(data); !errors.Is(err, errFormat) {
		t.Errorf("response of another format: %v, want %v", err, errFormat)
	}
	if a := responder.respond(SyncRequest{Format: format + 1}); a.hasState() || a.Format != format {
		t.Errorf("response to a router of another format: %v", a)
	}
	cancel()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	_ = group.Wait() // ends with the listener
}
