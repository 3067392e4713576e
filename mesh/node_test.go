package mesh

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/quarantine"
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/replicas"
)

// TestKnownIntervalDependsOnAgreement has a router receive heartbeats of others that know as many
// routers as it does, then of one that knows fewer: only then does it list other routers often.
func TestKnownIntervalDependsOnAgreement(t *testing.T) {
	n := &Node{Self: Member{Name: "self", Address: "self:1"}, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	for _, name := range []string{"r1", "r2"} {
		n.members.receive(&Heartbeat{Member: Member{Name: name, Address: name + ":1", Incarnation: 1}, RouterCount: 3})
	}
	if got := n.knownInterval(); got != maxKnownInterval {
		t.Errorf("all know all: interval %d rounds, want %d", got, maxKnownInterval)
	}
	n.members.receive(&Heartbeat{Member: Member{Name: "r2", Address: "r2:1", Incarnation: 2}, RouterCount: 2})
	if got := n.knownInterval(); got != minKnownInterval {
		t.Errorf("one knows fewer: interval %d rounds, want %d", got, minKnownInterval)
	}
}

// testState is a State with the version of a configuration. It records what it receives.
type testState struct {
	mu         sync.Mutex
	version    int64
	heartbeats int
	placements []placing.Placement
	changes    []replicas.Entry
	delegated  []int
	quarantine quarantine.Update
	limits     []ratelimit.Statement
}

func (s *testState) Fill(h *Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Configuration = s.version
}

func (s *testState) Merge(*Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeats++
}

func (s *testState) Request(Staleness) SyncRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SyncRequest{Version: s.version}
}

func (s *testState) Respond(request SyncRequest) *SyncResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Version >= s.version {
		return &SyncResponse{}
	}
	return &SyncResponse{Version: s.version, Configuration: make([]byte, 600<<10)}
}

func (s *testState) Apply(w *SyncResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = max(s.version, w.Version)
	return nil
}

func (s *testState) Compare(other Summary) Staleness {
	s.mu.Lock()
	defer s.mu.Unlock()
	if other.Configuration > s.version {
		return ConfigurationOutdated
	}
	return Fresh
}

func (s *testState) get() (version int64, heartbeats int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.heartbeats
}

func (s *testState) CacheHolders(key uint64) []placing.CacheHolder {
	s.mu.Lock()
	defer s.mu.Unlock()
	var holders []placing.CacheHolder
	for _, p := range s.placements {
		if p.Key == key {
			holders = append(holders, placing.CacheHolder{Replica: p.Replica, Recent: 3, Reading: true})
		}
	}
	return holders
}

func (s *testState) RecordPlacements(_ placing.Event, placements []placing.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placements = append(s.placements, placements...)
}

func (s *testState) ApplyChanges(changes []replicas.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, changes...)
}

func (s *testState) ApplyQuarantine(u quarantine.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Crashes = append(s.quarantine.Crashes, u.Crashes...)
	s.quarantine.Sound = append(s.quarantine.Sound, u.Sound...)
}

func (s *testState) ApplyLimits(limits []ratelimit.Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = append(s.limits, limits...)
}

func (s *testState) HandleDelegation(hops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delegated = append(s.delegated, hops)
}

type discard struct{}

func (discard) Event(string, ...any) {}

// startNodes runs routers until the test ends. Their only seed is the first one.
func startNodes(t *testing.T, routers int) ([]*Node, []*testState) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	states := make([]*testState, routers)
	nodes := make([]*Node, routers)
	var seed string
	for i := range routers {
		l := listen(t)
		datagrams, err := net.ListenPacket("udp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		states[i] = &testState{}
		nodes[i] = &Node{Self: Member{Name: string(rune('a' + i)), Address: l.Addr().String(), Incarnation: 1}, State: states[i],
			Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
		nodes[i].Init()
		if i == 0 {
			seed = l.Addr().String()
		}
		nodes[i].SetSeeds([]string{seed})
		group.Go(func() error { return nodes[i].Run(ctx, datagrams, l) })
	}
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return nodes, states
}

// TestNodesDiscoverEachOther starts routers with the same single seed and has a configuration of half
// a megabyte spread from one to all.
func TestNodesDiscoverEachOther(t *testing.T) {
	const routers = 4
	nodes, states := startNodes(t, routers)
	states[2].mu.Lock()
	states[2].version = 7
	states[2].mu.Unlock()
	for range 400 {
		done := true
		ranks := map[int]bool{}
		for i, s := range states {
			version, heartbeats := s.get()
			done = done && version == 7 && heartbeats > 0 && len(nodes[i].Alive()) == routers-1
			for _, m := range nodes[i].Alive() {
				done = done && m.Address == nodes[m.Name[0]-'a'].Self.Address
			}
			ranks[nodes[i].Rank("topic")] = true
		}
		if done && len(ranks) == routers {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatal("the routers did not all discover each other and fetch the configuration")
}

// TestNewcomerReply checks that a router that knows few others gets a reply that lists many, and one
// that knows nearly all gets none.
func TestNewcomerReply(t *testing.T) {
	n := &Node{Self: Member{Name: "seed"}, State: &testState{}, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	const fleet = 82
	for i := range fleet {
		n.members.receive(&Heartbeat{Member: Member{Name: fmt.Sprint(i), Address: fmt.Sprint(i, ":1"), Incarnation: 1}, RouterCount: fleet})
	}
	reply := n.newcomerReply(&Heartbeat{RouterCount: 4})
	if reply == nil || len(reply.Known) != maxKnownToNewcomer || reply.RouterCount != fleet+1 {
		t.Fatalf("the reply to the newcomer is %+v", reply)
	}
	if size := len(reply.marshal()); size > maxDatagramSize {
		t.Errorf("the reply has %d bytes", size)
	}
	if n.newcomerReply(&Heartbeat{RouterCount: fleet - 10}) != nil {
		t.Error("a router that knows nearly all gets a reply")
	}
}

// TestUpdatesSpreadInAVeryLargeFleet has routers that started together, and so send in the same rounds,
// forward an update: it reaches nearly all of them within SpreadTime.
func TestUpdatesSpreadInAVeryLargeFleet(t *testing.T) {
	const fleet = 370
	clock := peridotusher.ClockFunc(time.Now)
	var nodes []*Node
	byAddress := make(map[string]int)
	for i := range fleet {
		m := Member{Name: fmt.Sprint("r", i), Address: fmt.Sprint("r", i, ":1"), Incarnation: 1}
		n := &Node{Self: m, Clock: clock, Log: discard{}}
		n.Init()
		nodes, byAddress[m.Address] = append(nodes, n), i
	}
	for _, n := range nodes {
		for _, other := range nodes {
			n.members.addNamed(clock.Now(), other.Self)
		}
	}
	received := map[int]bool{0: true}
	for range nodes[0].SpreadTime() / heartbeatInterval {
		var receivers []int
		for i, n := range nodes {
			n.round++
			if !received[i] {
				continue
			}
			for _, address := range n.roundTargets() {
				receivers = append(receivers, byAddress[address])
			}
		}
		for _, i := range receivers {
			received[i] = true
		}
	}
	if len(received) < fleet*9/10 {
		t.Errorf("%d of %d routers have the update after %v", len(received), fleet, nodes[0].SpreadTime())
	}
}
