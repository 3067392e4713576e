package mesh

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
)

// TestTimeUntilNextCheck checks the wait after a check for missing state: without limit if nothing is
// missing, else until a fetch may be scheduled.
func TestTimeUntilNextCheck(t *testing.T) {
	const missedInterval, differTime = 18 * time.Second, 8 * time.Second
	start := time.Unix(100, 0)
	tests := []struct {
		name  string
		peers map[Staleness][]string
		want  time.Duration
	}{
		{"nothing is missing", map[Staleness][]string{Fresh: {"x"}}, 0},
		{"a fetch of a configuration may have failed", map[Staleness][]string{ConfigurationOutdated: {"n"}, PlacementsMissed: {"b"}}, configurationFetchInterval},
		{"placements were fetched recently", map[Staleness][]string{PlacementsMissed: {"b"}}, differTime / differChecks},
		{"replicas may be the same again", map[Staleness][]string{ReplicasDiffer: {"d"}}, differTime / differChecks},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			schedule := syncSchedule{placementsFetched: start.Add(-time.Second), placementsInterval: missedInterval, differTime: differTime}
			if diff := cmp.Diff(tt.want, schedule.untilNextCheck(start, tt.peers)); diff != "" {
				t.Errorf("wait (-want +got):\n%s", diff)
			}
		})
	}
	schedule := syncSchedule{placementsFetched: start.Add(100*time.Millisecond - missedInterval), placementsInterval: missedInterval, differTime: differTime}
	if got := schedule.untilNextCheck(start, map[Staleness][]string{PlacementsMissed: {"b"}}); got != 100*time.Millisecond {
		t.Errorf("the wait is %v, want 100ms, when placements are scheduled", got)
	}
}

// TestTargetsFollowMembership guards against heartbeats to outdated addresses: a router joins, changes
// its address and is removed.
func TestTargetsFollowMembership(t *testing.T) {
	now := time.Unix(1000, 0)
	n := &Node{Self: Member{Name: "self", Address: "self:1"}, Clock: peridotusher.ClockFunc(func() time.Time { return now }), Log: discard{}}
	n.Init()
	steps := []struct {
		name string
		do   func()
		want []string
	}{
		{"no other router", func() {}, nil},
		{"heartbeat of one", func() { n.members.receive(&Heartbeat{Member: Member{Name: "a", Address: "a:1", Incarnation: 1}}) }, []string{"a:1"}},
		{"it restarts at another address", func() { n.members.receive(&Heartbeat{Member: Member{Name: "a", Address: "a:2", Incarnation: 2}}) }, []string{"a:2"}},
		{"it is silent", func() { now = now.Add(2 * minRememberTime) }, nil},
		{"another one is added", func() { n.AddMember(Member{Name: "b", Address: "b:1", Incarnation: 1}) }, []string{"b:1"}},
	}
	for _, s := range steps {
		s.do()
		if diff := cmp.Diff(s.want, n.roundTargets(), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: targets (-want +got):\n%s", s.name, diff)
		}
	}
}

// digestState is a state whose table of replicas has the digest.
type digestState struct {
	testState
	digest uint32
}

func (s *digestState) Compare(other Summary) Staleness {
	if other.Digest != s.digest {
		return ReplicasDiffer
	}
	return Fresh
}

// TestMissedChangeIsFetchedSoon has a router receive the heartbeats of a fleet in which some routers
// have other replicas than it. A change that it missed has to be fetched within a second, whatever
// the size of the fleet; if only a few others differ, they lack the change and nothing is fetched.
func TestMissedChangeIsFetchedSoon(t *testing.T) {
	const minDelay, maxDelay, length = 500 * time.Millisecond, time.Second, 6 * time.Second
	tests := []struct {
		name    string
		routers int
		differ  float64
		fetched bool
	}{
		{"small fleet", 8, 1, true},
		{"medium fleet", 82, 1, true},
		{"large fleet", 370, 1, true},
		{"others lack the change too", 82, 0.6, true},
		{"a few others lack the change", 82, 0.1, false},
		{"all agree", 82, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			now := began
			n := &Node{Self: Member{Name: "self", Address: "self:1"}, State: &digestState{digest: 1}, Clock: peridotusher.ClockFunc(func() time.Time { return now }), Log: discard{}}
			n.Init()
			m := newModel(tt.routers, 0)
			schedule := syncSchedule{placementsInterval: n.placementsInterval(), differTime: minDifferTime}
			// All agree for twice the cover time, then the digests of the others change.
			agree := 2 * coverTime(tt.routers-1)
			var fetches []time.Duration
			for ; now.Sub(began) < agree+length; now = now.Add(heartbeatInterval) {
				m.simulateRound(func(from, to int) {
					if to != 0 {
						return
					}
					digest := uint32(1)
					if now.Sub(began) >= agree && float64(from) < tt.differ*float64(tt.routers) {
						digest = 2
					}
					n.members.receive(&Heartbeat{Member: Member{Name: fmt.Sprint("r", from), Address: "r:1"}, Digest: digest, RouterCount: tt.routers, Format: format})
				})
				if schedule.next(now, n.stalePeers()) == ReplicasDiffer {
					fetches = append(fetches, now.Sub(began)-agree)
				}
			}
			if !tt.fetched {
				if len(fetches) > 0 {
					t.Errorf("fetched after %v", fetches)
				}
				return
			}
			if len(fetches) == 0 || fetches[0] < minDelay || fetches[0] > maxDelay {
				t.Errorf("fetched after %v, want within %v to %v", fetches, minDelay, maxDelay)
			}
		})
	}
}

// TestFailedFetchIsRepeated guards against a wait of minDifferTime before the next fetch when a router
// does not respond to a fetch of its replicas.
func TestFailedFetchIsRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	differ := map[Staleness][]string{ReplicasDiffer: {"a"}}
	schedule := syncSchedule{differTime: minDifferTime}
	schedule.next(now, differ)
	now = now.Add(minDifferTime)
	if got := schedule.next(now, differ); got != ReplicasDiffer {
		t.Fatalf("%v is fetched, want the replicas", got)
	}
	schedule.recordFailure(now, ReplicasDiffer, "a")
	if got := schedule.next(now.Add(schedule.untilNextCheck(now, differ)), differ); got != ReplicasDiffer {
		t.Errorf("%v is fetched next, want the replicas", got)
	}
}

// TestUnreachableRouterIsAvoided guards against repeated fetches from a router to which no connection
// can be made though its heartbeats arrive, while others have the state.
func TestUnreachableRouterIsAvoided(t *testing.T) {
	const attempts = 100
	now := time.Unix(1000, 0)
	var schedule syncSchedule
	schedule.recordFailure(now, ConfigurationOutdated, "a")
	for range attempts {
		if got := schedule.chooseAddress(now.Add(failedFetchAvoidTime), []string{"a", "b", "c"}); got == "a" {
			t.Fatal("a fetch from the unreachable router though others have the state")
		}
		if got := schedule.chooseAddress(now.Add(failedFetchAvoidTime), []string{"a"}); got != "a" {
			t.Fatalf("fetch from %q, want the only router", got)
		}
	}
	chosen := make(map[string]bool)
	for range attempts {
		chosen[schedule.chooseAddress(now.Add(failedFetchAvoidTime+time.Millisecond), []string{"a", "b"})] = true
	}
	if diff := cmp.Diff(map[string]bool{"a": true, "b": true}, chosen); diff != "" {
		t.Errorf("routers chosen later (-want +got):\n%s", diff)
	}
}

// silentPeerState is a state that lacks replicas of the router "silent", and the configuration of any
// other router with a newer one.
type silentPeerState struct{ testState }

func (s *silentPeerState) Compare(other Summary) Staleness {
	if other.Router == "silent" {
		return ReplicasDiffer
	}
	return s.testState.Compare(other)
}

// TestConfigurationFetchIsNotDelayedBySilentRouter guards against a fetch of the configuration that is
// delayed until a fetch of replicas from a router that does not respond has timed out.
func TestConfigurationFetchIsNotDelayedBySilentRouter(t *testing.T) {
	const soon = fetchTimeout / 4
	silent := listen(t)
	defer func() { _ = silent.Close() }() // the test has ended
	newer, states := startNodes(t, 1)
	states[0].mu.Lock()
	states[0].version = 9
	states[0].mu.Unlock()
	state := &silentPeerState{}
	n := &Node{Self: Member{Name: "self", Address: "127.0.0.1:1"}, State: state, Clock: peridotusher.ClockFunc(time.Now), Log: discard{}}
	n.Init()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return n.catchUp(ctx) })
	receive := func(h *Heartbeat, signals chan struct{}) {
		h.Format = format
		n.members.receive(h)
		signal(signals)
	}
	for end := time.Now().Add(minDifferTime * 4 / 3); time.Now().Before(end); time.Sleep(heartbeatInterval / 4) {
		receive(&Heartbeat{Member: Member{Name: "silent", Address: silent.Addr().String(), Incarnation: 1}}, n.stale)
	}
	began := time.Now()
	receive(&Heartbeat{Member: newer[0].Self, Configuration: 9}, n.configurationOutdated)
	for version := int64(0); version != 9; version, _ = state.get() {
		if time.Since(began) > soon {
			t.Fatalf("the configuration was not applied within %v", soon)
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
