package peer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/faultproxy"
)

var wallClock = peridotusher.ClockFunc(time.Now)

// zonedFleet is a fleet of nodes in three zones. Connections between zones run
// through a proxy for each dialling zone and router, which injects faults.
type zonedFleet struct {
	nodes   []*testNode
	proxies map[string]*faultproxy.Proxy // by dialling zone and router: "zone>router"
}

var testZones = []peridotusher.Zone{"east", "north", "south"}

// startZones runs perZone nodes in each zone and proposes all members to each.
func startZones(t testing.TB, perZone int, configure func(*Node)) *zonedFleet {
	f := &zonedFleet{proxies: map[string]*faultproxy.Proxy{}}
	for _, zone := range testZones {
		for i := range perZone {
			id := peridotusher.RouterID(fmt.Sprintf("%s-%d", zone, i))
			listener := listen(t, "")
			self := peridotusher.NewMember(id, zone, listener.Addr().String(), 1)
			f.nodes = append(f.nodes, startNode(t, id, 1, listener, func(n *Node) {
				n.Self = self
				n.Members = peridotusher.NewMembers(self, wallClock)
				n.Clock = wallClock
				n.SuspectTimeout = 2 * time.Second
				n.FullMeshLimit = 1
				configure(n)
			}))
		}
	}
	f.startProxies(t)
	for _, n := range f.nodes {
		n.Members.Propose(f.membersSeenFrom(n.Self.Zone()))
	}
	return f
}

func (f *zonedFleet) startProxies(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, zone := range testZones {
		for _, n := range f.nodes {
			if n.Self.Zone() == zone {
				continue
			}
			p := &faultproxy.Proxy{Listener: listen(t, ""), Target: n.Self.Address()}
			f.proxies[string(zone)+">"+string(n.Self.ID())] = p
			running.Go(func() { _ = p.Run(ctx) })
		}
	}
}

// membersSeenFrom returns the platform's list of routers, with the addresses under
// which a zone reaches them.
func (f *zonedFleet) membersSeenFrom(zone peridotusher.Zone) []peridotusher.Member {
	var list []peridotusher.Member
	for _, n := range f.nodes {
		address := n.Self.Address()
		if p, ok := f.proxies[string(zone)+">"+string(n.Self.ID())]; ok {
			address = p.Address()
		}
		list = append(list, peridotusher.NewMember(n.Self.ID(), n.Self.Zone(), address, 0))
	}
	return list
}

// isolate disconnects a zone from the others.
func (f *zonedFleet) isolate(zone peridotusher.Zone) {
	for _, n := range f.nodes {
		for _, from := range testZones {
			p, ok := f.proxies[string(from)+">"+string(n.Self.ID())]
			if ok && (from == zone || n.Self.Zone() == zone) {
				p.Set(faultproxy.Fault{Refuse: true})
				p.ResetConnections()
			}
		}
	}
}

// waitForViews waits until each node sees as live exactly the nodes for which
// wantLive reports true. It skips nodes that should not see themselves as live.
func (f *zonedFleet) waitForViews(t testing.TB, what string, wantLive func(viewer, seen *testNode) bool) {
	t.Helper()
	eventually(t, what, func() bool {
		for _, viewer := range f.nodes {
			for _, seen := range f.nodes {
				if wantLive(viewer, viewer) && (viewer.stateOf(seen.Self.ID()) == "live") != wantLive(viewer, seen) {
					return false
				}
			}
		}
		return true
	})
}

func (f *zonedFleet) waitAllLive(t testing.TB) {
	t.Helper()
	f.waitForViews(t, "all routers see each other as live", func(_, _ *testNode) bool { return true })
}

// find returns the first node that matches.
func (f *zonedFleet) find(t testing.TB, match func(*testNode) bool) *testNode {
	t.Helper()
	for _, n := range f.nodes {
		if match(n) {
			return n
		}
	}
	t.Fatal("no such node")
	return nil
}

// otherZoneSessions counts a node's sessions with other zones.
func (n *testNode) otherZoneSessions() int { return len(n.sessions.all()) - len(n.ownZoneSessions()) }

// defaultSettings leaves the settings of a node as they are.
func defaultSettings(*Node) {}

func TestSparseLinksPerZone(t *testing.T) {
	f := startZones(t, 6, func(n *Node) { n.IdleTimeout = time.Second })
	f.waitAllLive(t)
	maxLinks := len(testZones) * (len(testZones) - 1) * linksPerZone
	eventually(t, "only links connect zones", func() bool {
		ends := 0
		for _, n := range f.nodes {
			ends += n.otherZoneSessions()
		}
		return ends > 0 && ends <= 2*maxLinks
	})
	links := map[string]int{} // by direction
	for _, n := range f.nodes {
		for _, m := range n.linkTargets(n.Members.Targets()) {
			if m.Zone() != n.Self.Zone() {
				links[string(n.Self.Zone()+">"+m.Zone())]++
			}
		}
	}
	want := map[string]int{}
	for _, a := range testZones {
		for _, b := range testZones {
			if a != b {
				want[string(a+">"+b)] = linksPerZone
			}
		}
	}
	if diff := cmp.Diff(want, links); diff != "" {
		t.Errorf("links by direction (-want +got):\n%s", diff)
	}
}

// TestAskAcrossZonesOnDemand requests permits between all routers, most of which have no
// session with each other before the request.
func TestAskAcrossZonesOnDemand(t *testing.T) {
	f := startZones(t, 3, func(n *Node) { n.IdleTimeout = time.Second })
	f.waitAllLive(t)
	for _, n := range f.nodes {
		for _, o := range f.nodes {
			if n == o {
				continue
			}
			got, err := n.Ask(testContext(t), o.Self.ID(), peridotusher.Ask{Engine: "engine-1"})
			if err != nil || !got.Granted {
				t.Errorf("permit request of %s to %s = granted %v, %v", n.Self.ID(), o.Self.ID(), got.Granted, err)
			}
		}
	}
	eventually(t, "sessions on demand are closed as idle", func() bool {
		ends := 0
		for _, n := range f.nodes {
			ends += n.otherZoneSessions()
		}
		return ends <= 2*len(testZones)*(len(testZones)-1)*linksPerZone
	})
	f.waitAllLive(t)
}

func TestAskAcrossZonesToStoppedRouter(t *testing.T) {
	f := startZones(t, 3, defaultSettings)
	f.waitAllLive(t)
	stopped := f.nodes[len(f.nodes)-1]
	stopped.stop()
	_, err := f.nodes[0].Ask(testContext(t), stopped.Self.ID(), peridotusher.Ask{Engine: "engine-1"})
	if err == nil {
		t.Error("permit request to a stopped router succeeded")
	}
}

func TestLinkHolderFailure(t *testing.T) {
	f := startZones(t, 3, defaultSettings)
	f.waitAllLive(t)
	holder := f.find(t, func(n *testNode) bool { return len(n.linkSessions()) > 0 })
	holder.stop()
	f.waitForViews(t, "all others see that it failed and see each other as live", func(viewer, seen *testNode) bool {
		return seen != holder
	})
	eventually(t, "other routers hold its links", func() bool {
		ends := 0
		for _, n := range f.nodes {
			if n != holder && n.Self.Zone() == holder.Self.Zone() {
				ends += len(n.linkSessions())
			}
		}
		return ends == (len(testZones)-1)*linksPerZone
	})
}

func TestCutZoneIsNoticed(t *testing.T) {
	f := startZones(t, 3, defaultSettings)
	f.waitAllLive(t)
	f.isolate("south")
	f.waitForViews(t, "each side sees only its own routers as live", func(viewer, seen *testNode) bool {
		return (viewer.Self.Zone() == "south") == (seen.Self.Zone() == "south")
	})
	for _, p := range f.proxies {
		p.Heal()
	}
	f.waitAllLive(t)
}

func TestLeavingNoticeCrossesZones(t *testing.T) {
	f := startZones(t, 3, defaultSettings)
	f.waitAllLive(t)
	for _, leaving := range []*testNode{f.nodes[0], f.nodes[4]} {
		if err := leaving.AnnounceLeaving(testContext(t)); err != nil {
			t.Fatal(err)
		}
		for _, n := range f.nodes {
			eventually(t, "the notice arrives", func() bool { return n.stateOf(leaving.Self.ID()) == "leaving" })
		}
	}
}

// recordingSink is a LoadSink that records the work of each engine.
type recordingSink struct {
	mu           sync.Mutex
	workByEngine map[peridotusher.EngineID]int
}

// SetLoads implements LoadSink.
func (s *recordingSink) SetLoads(_ peridotusher.RouterID, loads []peridotusher.EngineLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range loads {
		s.workByEngine[l.Engine] = l.Work
	}
}

func (s *recordingSink) copy() map[peridotusher.EngineID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	workByEngine := make(map[peridotusher.EngineID]int, len(s.workByEngine))
	for id, w := range s.workByEngine {
		workByEngine[id] = w
	}
	return workByEngine
}

// engineLoads is a LoadSource of a few engines. One of their loads changes at each
// call, unless they are constant.
type engineLoads struct {
	mu       sync.Mutex
	loads    []peridotusher.EngineLoad
	next     int
	constant bool
}

func newEngineLoads(router peridotusher.RouterID, engines int, constant bool) *engineLoads {
	l := &engineLoads{constant: constant}
	for i := range engines {
		l.loads = append(l.loads, peridotusher.EngineLoad{Engine: peridotusher.EngineID(fmt.Sprintf("%s-engine-%d", router, i)), Work: 1000 + i})
	}
	return l
}

// Loads implements LoadSource.
func (l *engineLoads) Loads() []peridotusher.EngineLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.constant {
		load := &l.loads[l.next%len(l.loads)]
		load.Work = 3000 - load.Work // a change large enough to be reported to other zones
		l.next++
	}
	return append([]peridotusher.EngineLoad(nil), l.loads...)
}

func TestLoadsCrossZones(t *testing.T) {
	want := map[peridotusher.EngineID]int{}
	f := startZones(t, 3, func(n *Node) {
		n.LoadSource = newEngineLoads(n.Self.ID(), 2, true)
		n.LoadSink = &recordingSink{workByEngine: map[peridotusher.EngineID]int{}}
		want[peridotusher.EngineID(n.Self.ID()+"-engine-0")] = 1000
		want[peridotusher.EngineID(n.Self.ID()+"-engine-1")] = 1001
	})
	for _, n := range f.nodes {
		eventually(t, "all loads arrive", func() bool {
			got := n.LoadSink.(*recordingSink).copy()
			for _, l := range n.LoadSource.Loads() {
				got[l.Engine] = l.Work
			}
			return cmp.Equal(want, got)
		})
	}
}

// demandSenders records the routers that sent demands.
type demandSenders struct {
	AdmissionHandler
	mu      sync.Mutex
	senders map[peridotusher.RouterID]bool
}

// SetDemands implements AdmissionHandler.
func (a *demandSenders) SetDemands(from peridotusher.RouterID, _ []peridotusher.Demand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.senders[from] = true
}

func (a *demandSenders) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.senders)
}

func TestDemandsCrossZones(t *testing.T) {
	f := startZones(t, 3, func(n *Node) { n.Admission = &demandSenders{senders: map[peridotusher.RouterID]bool{}} })
	f.waitAllLive(t)
	eventually(t, "each router has the demands of all others", func() bool {
		all := true
		for _, n := range f.nodes {
			if err := n.SendDemands([]peridotusher.Demand{{Organisation: "o", Rate: 1}}); err != nil {
				t.Fatal(err)
			}
			all = all && n.Admission.(*demandSenders).count() == len(f.nodes)-1
		}
		return all
	})
}

func TestSignificantChangeOfLoad(t *testing.T) {
	tests := []struct {
		old, now int64
		want     bool
	}{
		{0, 0, false},
		{0, 1, true},
		{80, 89, false},
		{80, 90, true},
		{80, 71, false},
		{80, 70, true},
		{80, 0, true},
	}
	for _, tt := range tests {
		if got := significantChange(tt.old, tt.now); got != tt.want {
			t.Errorf("significantChange(%d, %d) = %v, want %v", tt.old, tt.now, got, tt.want)
		}
	}
}
