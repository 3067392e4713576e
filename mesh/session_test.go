package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
)

func TestFetchOrderAndIntervals(t *testing.T) {
	const placementsInterval = 300 * time.Millisecond
	start := time.Unix(100, 0)
	both := map[Staleness][]string{PlacementsMissed: {"b"}, ReplicasDiffer: {"d"}}
	steps := []struct {
		after time.Duration
		peers map[Staleness][]string
		want  Staleness
	}{
		{0, nil, Fresh},
		{0, both, PlacementsMissed},
		{100 * time.Millisecond, both, Fresh},
		{200 * time.Millisecond, map[Staleness][]string{ConfigurationOutdated: {"n"}, PlacementsMissed: {"b"}}, ConfigurationOutdated},
		{300 * time.Millisecond, both, PlacementsMissed},
		{400 * time.Millisecond, map[Staleness][]string{Fresh: {"x"}}, Fresh},
		{500 * time.Millisecond, map[Staleness][]string{ReplicasDiffer: {"d"}}, Fresh},
		{time.Second, map[Staleness][]string{ReplicasDiffer: {"d"}}, Fresh},
		{1600 * time.Millisecond, map[Staleness][]string{ReplicasDiffer: {"d"}}, ReplicasDiffer},
		{1700 * time.Millisecond, map[Staleness][]string{ReplicasDiffer: {"d"}}, Fresh},
	}
	schedule := syncSchedule{placementsInterval: placementsInterval, differTime: minDifferTime}
	for i, s := range steps {
		if diff := cmp.Diff(s.want, schedule.next(start.Add(s.after), s.peers)); diff != "" {
			t.Errorf("step %d: state to fetch (-want +got):\n%s", i, diff)
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// slowListener delays each accepted connection.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(8 * time.Millisecond)
	return c, err
}

// TestJoinWithUnreachableSeed has a seed that refuses connections and one that has a configuration: the
// failure of the first one does not end the fetch from the second one.
func TestJoinWithUnreachableSeed(t *testing.T) {
	closed, listening := listen(t), listen(t)
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	clock := peridotusher.ClockFunc(time.Now)
	seed := &Node{Self: Member{Name: "seed"}, State: &testState{version: 7}, Clock: clock, Log: discard{}}
	seed.Init()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return seed.serve(ctx, slowListener{listening}) })
	state := &testState{}
	n := &Node{Self: Member{Name: "new", Address: "127.0.0.1:1"}, State: state, Clock: clock, Log: discard{}}
	n.Init()
	n.SetSeeds([]string{closed.Addr().String(), listening.Addr().String(), n.Self.Address})
	for range 50 { // on a busy machine a fetch may take longer than joinTimeout
		n.Join(ctx)
		if version, _ := state.get(); version == 7 {
			break
		}
	}
	if version, _ := state.get(); version != 7 {
		t.Error("the seed's state was not applied")
	}
	cancel()
	if err := listening.Close(); err != nil {
		t.Error(err)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// endingContext is a context whose error is set but whose channel is not closed yet, so that contexts
// derived from it are not canceled yet.
type endingContext struct{ context.Context }

func (endingContext) Done() <-chan struct{} { return make(chan struct{}) }

func (endingContext) Err() error { return context.Canceled }

// TestServeEndsWithItsContext guards against an error on a regular stop, in which the listener is
// closed before a derived context is canceled.
func TestServeEndsWithItsContext(t *testing.T) {
	l := listen(t)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	n := &Node{Self: Member{Name: "r0"}, State: &testState{}, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	if err := n.serve(endingContext{context.Background()}, l); err != nil {
		t.Errorf("serve: %v", err)
	}
}
