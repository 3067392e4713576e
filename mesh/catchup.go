package mesh

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// configurationFetchInterval is the time between two fetches of a newer configuration.
	configurationFetchInterval = 100 * time.Millisecond
	// failedFetchAvoidTime is how long no state is fetched from a router after a fetch from
	// it failed, if others have the state.
	failedFetchAvoidTime = 3 * time.Second
	// placementsCoverDivisor and placementsCoverTimes determine the minimum time between two
	// fetches of missed placements: the cover time divided by the former, or, in a fleet that
	// is covered in several rounds of heartbeats, multiplied by the latter.
	placementsCoverDivisor = 4
	placementsCoverTimes   = 2
	// minDifferTime is how long a router's table of replicas has to differ from those of the
	// others before it fetches theirs: heartbeats may carry the changes meanwhile.
	minDifferTime = 3 * heartbeatInterval
	// recentHeartbeatAge is the age up to which a heartbeat is assumed to show the current
	// state of its sender's replicas. In a large fleet the latest one of most routers is older.
	recentHeartbeatAge = 3 * heartbeatInterval / 2
	// minDifferingFraction is the fraction of the routers with a recent heartbeat whose
	// replicas have to differ for a fetch.
	minDifferingFraction = 1.0 / 3
	// differChecks is the number of checks for a difference within minDifferTime.
	differChecks = 8
)

// catchUp fetches missing state from other routers until ctx ends. The configuration has a loop of
// its own: it has to be in force soon, and a router that does not respond may delay a fetch of
// replicas or placements by fetchTimeout.
func (n *Node) catchUp(ctx context.Context) error {
	isConfiguration := func(s Staleness) bool { return s == ConfigurationOutdated }
	isOther := func(s Staleness) bool { return s != ConfigurationOutdated }
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.fetchLoop(ctx, n.configurationOutdated, isConfiguration) })
	group.Go(func() error { return n.fetchLoop(ctx, n.stale, isOther) })
	return group.Wait()
}

// fetchLoop fetches missing state of the wanted kinds until ctx ends. It checks for missing state
// on a signal, which is sent when a heartbeat shows that there is some, and again as long as some
// is missing.
func (n *Node) fetchLoop(ctx context.Context, signals <-chan struct{}, wanted func(Staleness) bool) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var schedule syncSchedule
	timeout, woken := timer.C, signals
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-woken:
		case <-timeout:
		}
		timeout, woken = nil, signals
		if wait := n.fetchNext(ctx, &schedule, wanted); wait > 0 {
			timer.Reset(wait)
			timeout, woken = timer.C, nil
		}
	}
}

// fetchNext fetches the most urgent missing state of the wanted kinds whose scheduled time has
// come, from a random router that has it. It returns the time until the next check; 0 if nothing
// is missing.
func (n *Node) fetchNext(ctx context.Context, schedule *syncSchedule, wanted func(Staleness) bool) time.Duration {
	n.traffic.checks.Add(1)
	peers := n.stalePeers()
	maps.DeleteFunc(peers, func(s Staleness, _ []string) bool { return !wanted(s) })
	schedule.placementsInterval, schedule.differTime = n.placementsInterval(), minDifferTime
	staleness := schedule.next(n.Clock.Now(), peers)
	if from := peers[staleness]; staleness != Fresh && len(from) > 0 {
		address := schedule.chooseAddress(n.Clock.Now(), from)
		if n.fetchFrom(ctx, address, staleness) == nil {
			schedule.recordFailure(n.Clock.Now(), staleness, address)
		}
	}
	return schedule.untilNextCheck(n.Clock.Now(), peers)
}

// stalePeers returns the addresses of the routers that are alive, grouped by the kind of state that
// this router lacks and they have. Replicas count as differing only if they differ from those of a
// sufficient fraction of the routers with a recent heartbeat: an older heartbeat may have been sent
// before a change, and a few routers may not have received the change themselves.
func (n *Node) stalePeers() map[Staleness][]string {
	now := n.Clock.Now()
	peers := make(map[Staleness][]string)
	recent := 0
	for _, peer := range sameFormat(n.members.alive()) {
		staleness := n.State.Compare(peer.Summary)
		isRecent := now.Sub(peer.lastHeartbeat) <= recentHeartbeatAge
		if isRecent {
			recent++
		}
		if staleness == ReplicasDiffer && !isRecent {
			continue
		}
		peers[staleness] = append(peers[staleness], peer.Address)
	}
	if float64(len(peers[ReplicasDiffer])) < minDifferingFraction*float64(recent) {
		delete(peers, ReplicasDiffer)
	}
	return peers
}

// placementsInterval is the minimum time between two fetches of missed placements.
func (n *Node) placementsInterval() time.Duration {
	cover := n.CoverTime()
	if cover > heartbeatInterval {
		return placementsCoverTimes * cover
	}
	return cover / placementsCoverDivisor
}

// syncSchedule decides when which state is fetched from another router.
type syncSchedule struct {
	placementsFetched time.Time // when missed placements were fetched last
	differSince       time.Time // since when replicas differ

	placementsInterval time.Duration // minimum time between two fetches of missed placements
	differTime         time.Duration // how long replicas may differ before a fetch

	lastFailure map[string]time.Time // when a fetch from an address failed last
}

// next returns which missing state is to be fetched now; Fresh if none.
func (s *syncSchedule) next(now time.Time, peers map[Staleness][]string) Staleness {
	if len(peers[ReplicasDiffer]) == 0 {
		s.differSince = time.Time{}
	} else if s.differSince.IsZero() {
		s.differSince = now
	}
	switch {
	case len(peers[ConfigurationOutdated]) > 0:
		return ConfigurationOutdated
	case len(peers[PlacementsMissed]) > 0 && now.Sub(s.placementsFetched) >= s.placementsInterval:
		s.placementsFetched = now
		return PlacementsMissed
	case len(peers[ReplicasDiffer]) > 0 && now.Sub(s.differSince) >= s.differTime:
		s.differSince = now
		return ReplicasDiffer
	}
	return Fresh
}

// chooseAddress returns a random one of the addresses, if possible one from which no fetch has
// failed recently: heartbeats may arrive from a router to which no connection can be made.
func (s *syncSchedule) chooseAddress(now time.Time, addresses []string) string {
	maps.DeleteFunc(s.lastFailure, func(_ string, at time.Time) bool { return now.Sub(at) > failedFetchAvoidTime })
	reachable := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return !s.lastFailure[a].IsZero() })
	if len(reachable) > 0 {
		addresses = reachable
	}
	return addresses[rand.IntN(len(addresses))]
}

// recordFailure records that the state that next returned could not be fetched from an address. If
// it was replicas, the next call of next may return them again.
func (s *syncSchedule) recordFailure(now time.Time, staleness Staleness, address string) {
	if s.lastFailure == nil {
		s.lastFailure = make(map[string]time.Time)
	}
	s.lastFailure[address] = now
	if staleness == ReplicasDiffer {
		s.differSince = now.Add(-s.differTime)
	}
}

// untilNextCheck returns the time until the next check for missing state; 0 if nothing is missing.
func (s *syncSchedule) untilNextCheck(now time.Time, peers map[Staleness][]string) time.Duration {
	wait := time.Duration(0)
	sooner := func(d time.Duration) {
		if d = max(d, time.Millisecond); wait == 0 || d < wait {
			wait = d
		}
	}
	if len(peers[ConfigurationOutdated]) > 0 {
		sooner(configurationFetchInterval)
	}
	if len(peers[PlacementsMissed]) > 0 {
		sooner(s.placementsInterval - now.Sub(s.placementsFetched))
	}
	if len(peers[PlacementsMissed]) > 0 || len(peers[ReplicasDiffer]) > 0 {
		sooner(s.differTime / differChecks)
	}
	return wait
}
