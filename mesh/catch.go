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
	// retryInterval is the time between two fetches of a newer configuration.
	retryInterval = 100 * time.Millisecond
	// avoidedFor is how long no state is fetched from a router after a fetch from it failed,
	// if others have the state.
	avoidedFor = 3 * time.Second
	// missedPart and missedRounds are the least time between two fetches of
	// placements that were missed: a part of the time in which all routers get a
	// heartbeat, in a large fleet some times as long.
	missedPart   = 4
	missedRounds = 2
	// differLeast is how long a router's replicas may differ from those of the others
	// before it fetches them: changes travel in heartbeats meanwhile.
	differLeast = 3 * heartbeatInterval
	// recentHeartbeat is the age up to which a heartbeat shows the present state of its
	// sender's replicas. In a large fleet the last one of most routers is older.
	recentHeartbeat = 3 * heartbeatInterval / 2
	// differPart is the part of the routers heard just now whose replicas have to differ.
	differPart = 1.0 / 3
	// differChecks is the number of checks for a difference in that time.
	differChecks = 8
)

// catchUp fetches missing state from other routers until ctx ends. A configuration has a loop
// of its own: it has to be in force soon, and a router that does not answer may hold up a fetch
// of replicas or placements for sessionTime.
func (n *Node) catchUp(ctx context.Context) error {
	isConfiguration := func(s Staleness) bool { return s == ConfigurationOutdated }
	isOther := func(s Staleness) bool { return s != ConfigurationOutdated }
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.followStale(ctx, n.configurationOutdated, isConfiguration) })
	group.Go(func() error { return n.followStale(ctx, n.stale, isOther) })
	return group.Wait()
}

// followStale fetches missing state of some kinds until ctx ends. It checks for it on a signal
// that a heartbeat shows that there is some, and again when a fetch of it is due.
func (n *Node) followStale(ctx context.Context, signals <-chan struct{}, wanted func(Staleness) bool) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var c syncSchedule
	due, lacking := timer.C, signals
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-lacking:
		case <-due:
		}
		due, lacking = nil, signals
		if wait := n.fetchStale(ctx, &c, wanted); wait > 0 {
			timer.Reset(wait)
			due, lacking = timer.C, nil
		}
	}
}

// fetchStale fetches the missing state of the wanted kinds that is due, from a random router
// that has it. It returns the time until the next check; 0 if nothing is missing.
func (n *Node) fetchStale(ctx context.Context, c *syncSchedule, wanted func(Staleness) bool) time.Duration {
	n.traffic.looks.Add(1)
	stale := n.stalePeers()
	maps.DeleteFunc(stale, func(s Staleness, _ []string) bool { return !wanted(s) })
	c.missedInterval, c.differTime = n.placementsInterval(), differLeast
	staleness := c.next(n.Clock.Now(), stale)
	if from := stale[staleness]; staleness != Fresh && len(from) > 0 {
		address := c.choose(n.Clock.Now(), from)
		if n.fetchFrom(ctx, address, staleness) == nil {
			c.failed(n.Clock.Now(), staleness, address)
		}
	}
	return c.wait(n.Clock.Now(), stale)
}

// stalePeers returns the addresses of the routers that are alive by what this router lacks of
// their state. Its replicas count as differing only if they differ from those of enough of the
// routers that it has heard just now: an older heartbeat may be from before a change, and a few
// others may lack it.
func (n *Node) stalePeers() map[Staleness][]string {
	now := n.Clock.Now()
	peers := make(map[Staleness][]string)
	recent := 0
	for _, s := range sameFormat(n.members.alive()) {
		staleness := n.State.Compare(s.Summary)
		isRecent := now.Sub(s.lastHeartbeat) <= recentHeartbeat
		if isRecent {
			recent++
		}
		if staleness == ReplicasDiffer && !isRecent {
			continue
		}
		peers[staleness] = append(peers[staleness], s.Address)
	}
	if float64(len(peers[ReplicasDiffer])) < differPart*float64(recent) {
		delete(peers, ReplicasDiffer)
	}
	return peers
}

// placementsInterval is the least time between two fetches of placements that were missed.
func (n *Node) placementsInterval() time.Duration {
	cover := n.CoverTime()
	if cover > heartbeatInterval {
		return missedRounds * cover
	}
	return cover / missedPart
}

// syncSchedule decides when the state of another router is fetched.
type syncSchedule struct {
	missedFetched time.Time // when missed placements were fetched last
	differSince   time.Time // since when replicas differ

	missedInterval time.Duration // least time between two fetches of missed placements
	differTime     time.Duration // time for which replicas may differ before a fetch

	failures map[string]time.Time // when a fetch from an address failed last
}

// next returns which missing state is to be fetched now; Fresh if none is due.
func (c *syncSchedule) next(now time.Time, stale map[Staleness][]string) Staleness {
	if len(stale[ReplicasDiffer]) == 0 {
		c.differSince = time.Time{}
	} else if c.differSince.IsZero() {
		c.differSince = now
	}
	switch {
	case len(stale[ConfigurationOutdated]) > 0:
		return ConfigurationOutdated
	case len(stale[PlacementsMissed]) > 0 && now.Sub(c.missedFetched) >= c.missedInterval:
		c.missedFetched = now
		return PlacementsMissed
	case len(stale[ReplicasDiffer]) > 0 && now.Sub(c.differSince) >= c.differTime:
		c.differSince = now
		return ReplicasDiffer
	}
	return Fresh
}

// choose returns a random one of the addresses, if possible one from which no fetch has failed
// lately: heartbeats may arrive from a router that cannot be reached.
func (c *syncSchedule) choose(now time.Time, addresses []string) string {
	maps.DeleteFunc(c.failures, func(_ string, at time.Time) bool { return now.Sub(at) > avoidedFor })
	reachable := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return !c.failures[a].IsZero() })
	if len(reachable) > 0 {
		addresses = reachable
	}
	return addresses[rand.IntN(len(addresses))]
}

// failed records that the state that next returned could not be fetched from an address:
// replicas that differ are due again.
func (c *syncSchedule) failed(now time.Time, staleness Staleness, address string) {
	if c.failures == nil {
		c.failures = make(map[string]time.Time)
	}
	c.failures[address] = now
	if staleness == ReplicasDiffer {
		c.differSince = now.Add(-c.differTime)
	}
}

// wait returns the time until the next check for missing state; 0 if nothing is missing.
func (c *syncSchedule) wait(now time.Time, stale map[Staleness][]string) time.Duration {
	wait := time.Duration(0)
	sooner := func(d time.Duration) {
		if d = max(d, time.Millisecond); wait == 0 || d < wait {
			wait = d
		}
	}
	if len(stale[ConfigurationOutdated]) > 0 {
		sooner(retryInterval)
	}
	if len(stale[PlacementsMissed]) > 0 {
		sooner(c.missedInterval - now.Sub(c.missedFetched))
	}
	if len(stale[PlacementsMissed]) > 0 || len(stale[ReplicasDiffer]) > 0 {
		sooner(c.differTime / differChecks)
	}
	return wait
}
