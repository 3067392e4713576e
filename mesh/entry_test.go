package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

// TestSinceReadyRoundTrip guards against times since ready that a message shortens.
func TestSinceReadyRoundTrip(t *testing.T) {
	for sent, want := range map[time.Duration]time.Duration{
		0:                       0,
		1:                       time.Millisecond,
		1500 * time.Microsecond: 2 * time.Millisecond,
		maxSinceReady:           maxSinceReady,
		maxSinceReady + 1:       0,
	} {
		got, err := unmarshalEntry(marshalEntry(replicas.Entry{ID: "a", Leaving: true, SinceReady: sent}))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(replicas.Entry{ID: "a", Leaving: true, SinceReady: want}, got); diff != "" {
			t.Errorf("after %v (-want +got):\n%s", sent, diff)
		}
	}
}

// TestSinceReadyIncludesDelay guards against departure times that leave out the delay of a datagram.
func TestSinceReadyIncludesDelay(t *testing.T) {
	const sent = time.Second
	nodes, states := startNodes(t, 2)
	awaitAlive(nodes)
	nodes[0].PublishChanges([]replicas.Entry{{ID: "a", Leaving: true, SinceReady: sent}, {ID: "b", Leaving: true}})
	time.Sleep(heartbeatInterval)
	states[1].mu.Lock()
	defer states[1].mu.Unlock()
	want := []replicas.Entry{{ID: "a", Leaving: true, SinceReady: sent + DatagramDelay}, {ID: "b", Leaving: true}}
	if diff := cmp.Diff(want, states[1].changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// departureState responds to fetches with a departure after a delay, and keeps what it receives.
type departureState struct {
	testState
	delay   time.Duration
	applied []replicas.Entry
}

func (s *departureState) Respond(SyncRequest) *SyncResponse {
	response := &SyncResponse{Entries: []replicas.Entry{{ID: "a", Leaving: true, SinceReady: time.Second}}}
	time.Sleep(s.delay)
	return response
}

func (s *departureState) Apply(response *SyncResponse) error {
	s.applied = response.Entries
	return nil
}

// TestSinceReadyIncludesFetch guards against departure times that leave out the duration of a fetch.
func TestSinceReadyIncludesFetch(t *testing.T) {
	const delay = 50 * time.Millisecond
	l, clock := listen(t), peridotusher.ClockFunc(time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	responder := &Node{Self: Member{Name: "responder"}, State: &departureState{delay: delay}, Clock: clock, Log: discard{}}
	state := &departureState{}
	requester := &Node{Self: Member{Name: "requester"}, State: state, Clock: clock, Log: discard{}}
	for _, n := range []*Node{responder, requester} {
		n.Init()
	}
	var group errgroup.Group
	group.Go(func() error { return responder.serve(ctx, l) })
	if requester.fetchFrom(ctx, l.Addr().String(), ReplicasDiffer) == nil {
		t.Fatal("the fetch failed")
	}
	if got := state.applied[0].SinceReady; got < time.Second+delay {
		t.Errorf("since ready %v after a fetch of %v", got, delay)
	}
	cancel()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	_ = group.Wait() // ends with the listener
}
