package mesh

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
)

func sampleBeat() Beat {
	return Beat{
		Member:        Member{Name: "r1", Address: "10.0.0.1:7000", Zone: "a", Incarnation: 1764800000000},
		Configuration: 12, Digest: 1 << 63, ReadAge: 450 * time.Millisecond, OutageAge: time.Hour, Stopping: true,
		Counts:  []replicas.Count{{Replica: 1 << 31, Held: 3, Good: 1000, Bad: 2}, {Replica: 7}},
		Changes: []replicas.Entry{{ID: "i-1", Service: "s", Address: "10.0.0.9:80", Zone: "b", Slots: 64, Born: 5, Leaving: true, Gone: true, Revision: 99}},
		Reports: []replicas.Report{{Replica: 8, Load: 70, Age: 30 * time.Millisecond}},
		News:    placing.News{Placements: []placing.Placement{{Key: 1 << 60, Replica: 5}}, Told: 12},
		Reads:   []placing.Placement{{Key: 9, Replica: 6}},
		Settled: true,
		Routers: 82,
		Format:  format,
		Known:   []Member{{Name: "r2", Address: "10.0.0.2:7000", Zone: "b", Incarnation: 4}},
	}
}

func TestBeatOnTheWire(t *testing.T) {
	want := sampleBeat()
	var got Beat
	if err := got.unmarshal(want.marshal()); err != nil {
		t.Fatal(err)
	}
	want.Address = "" // it is the datagram's source
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("beat (-want +got):\n%s", diff)
	}
}

// TestBeatsFitTheBudget has a router of today's fleets, with a dozen requests a
// second, tell seven others: control may take 6 KB a second.
func TestBeatsFitTheBudget(t *testing.T) {
	const others, budget = 7, 6 << 10
	b := Beat{
		Member:        Member{Name: "edge-attica-a-1", Address: "10.1.0.40:7340", Zone: "attica-a", Incarnation: 1764800000000},
		Configuration: 1000, Digest: 1 << 63, ReadAge: 450 * time.Millisecond, OutageAge: time.Minute, Settled: true, Routers: others + 1, Format: format,
		News: placing.News{Placements: []placing.Placement{{Key: 1 << 47, Replica: 1 << 31}, {Key: 1 << 46, Replica: 1 << 31}}, Told: 300},
	}
	for i := range 12 {
		b.Counts = append(b.Counts, replicas.Count{Replica: 1<<31 + uint32(i), Held: 1, Good: 300, Bad: 3})
	}
	perSecond := float64(others*(len(b.marshal())+datagramOverhead)) / beatEvery.Seconds()
	if perSecond > budget {
		t.Errorf("beats take %.0f bytes a second, want at most %d", perSecond, budget)
	}
}

// TestKnownRoutersAreNamedSeldom has a router hear of others that know as many
// routers as it does, then of one that knows fewer.
func TestKnownRoutersAreNamedSeldom(t *testing.T) {
	n := &Node{Self: Member{Name: "self", Address: "self:1"}, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	for _, name := range []string{"r1", "r2"} {
		n.members.hear(&Beat{Member: Member{Name: name, Address: name + ":1", Incarnation: 1}, Routers: 3})
	}
	if got := n.knownRounds(); got != knownSeldom {
		t.Errorf("all know all: named each %d rounds, want %d", got, knownSeldom)
	}
	n.members.hear(&Beat{Member: Member{Name: "r2", Address: "r2:1", Incarnation: 2}, Routers: 2})
	if got := n.knownRounds(); got != knownEvery {
		t.Errorf("one knows fewer: named each %d rounds, want %d", got, knownEvery)
	}
}

func TestWantOnTheWire(t *testing.T) {
	want := Want{Revision: 7, Replicas: []uint64{1 << 63, 0, 5}, Inventory: true}
	var got Want
	if err := got.unmarshal(want.marshal()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("want (-want +got):\n%s", diff)
	}
}

func TestCutBeats(t *testing.T) {
	b := sampleBeat()
	data := b.marshal()
	for n := range data {
		var got Beat
		_ = got.unmarshal(data[:n]) // must not panic; some cuts are whole messages
	}
}

func TestAnswerOnTheWire(t *testing.T) {
	text := bytes.Repeat([]byte(`{"name":"r-2yhvz3p","kind":"streaming"},`), 10000)
	want := Answer{Configuration: text, Revision: 4, Entries: sampleBeat().Changes, Settled: true, ReadAge: time.Second, OutageAge: time.Minute, Format: format}
	want.Inventory.Placements = []placing.Placement{{Key: 1 << 60, Replica: 5}, {Key: 3, Replica: 1 << 31}}
	want.Inventory.Heard = []placing.Heard{{Origin: placing.Origin{Name: "r1", Incarnation: 8}, Told: 3}, {Origin: placing.Origin{Name: "r2"}}}
	data, err := want.marshal(&packer{})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > len(text)/10 {
		t.Errorf("%d bytes for a configuration of %d", len(data), len(text))
	}
	var got Answer
	if err := got.unmarshal(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
}

func TestMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembers(Member{Name: "r0"}, peridotusher.ClockFunc(func() time.Time { return now }))
	names := func() []string {
		out := []string{}
		for _, s := range m.alive() {
			out = append(out, s.Name)
		}
		return out
	}
	beat := func(name string, incarnation int64) bool {
		return m.hear(&Beat{Member: Member{Name: name, Address: name + ":1", Incarnation: incarnation}, Known: []Member{{Name: "told", Address: "told:1"}}})
	}
	if beat("r0", 1) {
		t.Error("the router heard itself")
	}
	beat("r1", 5)
	beat("r2", 5)
	if diff := cmp.Diff([]string{"r1", "r2"}, names()); diff != "" {
		t.Errorf("alive (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"r1:1", "r2:1", "told:1"}, m.addresses()); diff != "" {
		t.Errorf("addresses (-want +got):\n%s", diff)
	}
	if beat("r1", 4) {
		t.Error("a late beat of an earlier start was taken")
	}
	now = now.Add(2 * aliveLeast)
	if !beat("r1", 4) {
		t.Error("a start after the clock was set back was not taken")
	}
	if diff := cmp.Diff([]string{"r1"}, names()); diff != "" {
		t.Errorf("alive after a silence (-want +got):\n%s", diff)
	}
	now = now.Add(2 * rememberFor)
	if got := m.addresses(); len(got) != 0 {
		t.Errorf("addresses after a long silence: %v", got)
	}
}

// testState is a router's state with one configuration number.
type testState struct {
	mu       sync.Mutex
	revision int64
	heard    int
}

func (s *testState) Fill(b *Beat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.Configuration = s.revision
}

func (s *testState) Hear(*Beat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard++
}

func (s *testState) Want(Lack) Want {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Want{Revision: s.revision}
}

func (s *testState) Answer(want Want) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want.Revision >= s.revision {
		return &Answer{}
	}
	return &Answer{Revision: s.revision, Configuration: make([]byte, 600<<10)}
}

func (s *testState) Take(w *Answer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, w.Revision)
	return nil
}

func (s *testState) Lacks(other Summary) Lack {
	s.mu.Lock()
	defer s.mu.Unlock()
	if other.Configuration > s.revision {
		return Newer
	}
	return Nothing
}

func (s *testState) get() (revision int64, heard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.heard
}

type discard struct{}

func (discard) Event(string, ...any) {}

// TestNodesFindEachOther starts routers that know one seed only, and has a
// configuration of half a megabyte travel from one to all.
// TestZoneCount counts the routers of the own zone: one is ready, one stops, one is
// silent, one was only told of, one is in another zone.
func TestZoneCount(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembers(Member{Name: "r0", Zone: "a"}, peridotusher.ClockFunc(func() time.Time { return now }))
	beat := func(name, zone string, stopping bool) {
		m.hear(&Beat{Member: Member{Name: name, Zone: zone, Address: name + ":1", Incarnation: 1}, Stopping: stopping})
	}
	beat("silent", "a", false)
	now = now.Add(2 * aliveLeast)
	beat("ready", "a", false)
	beat("stops", "a", true)
	beat("far", "b", false)
	m.introduce(now, Member{Name: "told", Zone: "a", Address: "told:1", Incarnation: 1})
	if diff := cmp.Diff(ZoneCount{Ready: 1, All: 5}, m.zone()); diff != "" {
		t.Errorf("zone (-want +got):\n%s", diff)
	}
}

func TestNodesFindEachOther(t *testing.T) {
	const routers = 4
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	states := make([]*testState, routers)
	nodes := make([]*Node, routers)
	var seed string
	for i := range routers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
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
	defer func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}()
	states[2].mu.Lock()
	states[2].revision = 7
	states[2].mu.Unlock()
	for range 400 {
		done := true
		ranks := map[int]bool{}
		for i, s := range states {
			revision, heard := s.get()
			done = done && revision == 7 && heard > 0 && len(nodes[i].Alive()) == routers-1
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
	t.Fatal("the routers never knew each other and the configuration")
}

func TestCatchUpPace(t *testing.T) {
	const pace = 300 * time.Millisecond
	start := time.Unix(100, 0)
	both := map[Lack][]string{Behind: {"b"}, Different: {"d"}}
	steps := []struct {
		after time.Duration
		lacks map[Lack][]string
		want  Lack
	}{
		{0, nil, Nothing},
		{0, both, Behind},
		{100 * time.Millisecond, both, Nothing},
		{200 * time.Millisecond, map[Lack][]string{Newer: {"n"}, Behind: {"b"}}, Newer},
		{300 * time.Millisecond, both, Behind},
		{400 * time.Millisecond, map[Lack][]string{Nothing: {"x"}}, Nothing},
		{500 * time.Millisecond, map[Lack][]string{Different: {"d"}}, Nothing},
		{time.Second, map[Lack][]string{Different: {"d"}}, Nothing},
		{1600 * time.Millisecond, map[Lack][]string{Different: {"d"}}, Different},
		{1700 * time.Millisecond, map[Lack][]string{Different: {"d"}}, Nothing},
	}
	c := catching{behindPace: pace, differentPace: differentFor}
	for i, s := range steps {
		if diff := cmp.Diff(s.want, c.next(start.Add(s.after), s.lacks)); diff != "" {
			t.Errorf("step %d, what is fetched (-want +got):\n%s", i, diff)
		}
	}
}

// TestNewcomerOfALargeFleet has a router that knows few others hear beats of
// routers that know many: they stay alive between two of their beats.
func TestNewcomerOfALargeFleet(t *testing.T) {
	const fleet = 82
	now := time.Unix(1000, 0)
	m := newMembers(Member{Name: "r0"}, peridotusher.ClockFunc(func() time.Time { return now }))
	m.hear(&Beat{Member: Member{Name: "seed", Address: "s:1", Incarnation: 1}, Routers: fleet})
	now = now.Add(coverTime(fleet - 1))
	if n := len(m.alive()); n != 1 {
		t.Errorf("%d routers are alive before the next beat of the only one heard", n)
	}
	now = now.Add(2 * aliveRounds * coverTime(fleet-1))
	if n := len(m.alive()); n != 0 {
		t.Errorf("%d routers are alive after a long silence", n)
	}
}

func TestNewcomerIsToldOfMany(t *testing.T) {
	n := &Node{Self: Member{Name: "seed"}, State: &testState{}, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	const fleet = 82
	for i := range fleet {
		n.members.hear(&Beat{Member: Member{Name: fmt.Sprint(i), Address: fmt.Sprint(i, ":1"), Incarnation: 1}, Routers: fleet})
	}
	reply := n.welcome(&Beat{Routers: 4})
	if reply == nil || len(reply.Known) != welcomeMost || reply.Routers != fleet+1 {
		t.Fatalf("the newcomer is told %+v", reply)
	}
	if size := len(reply.marshal()); size > largestBeat {
		t.Errorf("the reply has %d bytes", size)
	}
	if n.welcome(&Beat{Routers: fleet - 10}) != nil {
		t.Error("a router that knows nearly all is told again")
	}
}

// slowListener accepts connections a moment later.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(8 * time.Millisecond)
	return c, err
}

// TestJoinTakesTheSeedThatAnswers has a seed at which nobody listens and one that
// knows a configuration: the first one's refusal does not end the fetch.
func TestJoinTakesTheSeedThatAnswers(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	gone, alive := listen(), listen()
	if err := gone.Close(); err != nil {
		t.Fatal(err)
	}
	clock := peridotusher.ClockFunc(time.Now)
	seed := &Node{Self: Member{Name: "seed"}, State: &testState{revision: 7}, Clock: clock, Log: discard{}}
	seed.Init()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return seed.serve(ctx, slowListener{alive}) })
	state := &testState{}
	n := &Node{Self: Member{Name: "new", Address: "127.0.0.1:1"}, State: state, Clock: clock, Log: discard{}}
	n.Init()
	n.SetSeeds([]string{gone.Addr().String(), alive.Addr().String(), n.Self.Address})
	for range 50 { // a busy machine may take longer than the time to join
		n.Join(ctx, 0)
		if revision, _ := state.get(); revision == 7 {
			break
		}
	}
	if revision, _ := state.get(); revision != 7 {
		t.Error("the seed's state was not taken over")
	}
	cancel()
	if err := alive.Close(); err != nil {
		t.Error(err)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// TestNewsSpreadsInAVeryLargeFleet has routers that started together pass news on in
// rounds at the same times: nearly all hear it in the time that is allowed for it.
func TestNewsSpreadsInAVeryLargeFleet(t *testing.T) {
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
		for _, o := range nodes {
			n.members.introduce(clock.Now(), o.Self)
		}
	}
	heard := map[int]bool{0: true}
	for range nodes[0].SpreadTime() / beatEvery {
		var told []int
		for i, n := range nodes {
			n.round++
			if !heard[i] {
				continue
			}
			for _, address := range n.targets() {
				told = append(told, byAddress[address])
			}
		}
		for _, i := range told {
			heard[i] = true
		}
	}
	if len(heard) < fleet*9/10 {
		t.Errorf("%d of %d routers have heard after %v", len(heard), fleet, nodes[0].SpreadTime())
	}
}
