package edge

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"peridotusher.example/peridotusher/replicas"
)

// replicaChurn changes the replicas in a memoryStore as releases, crashes and scaling do.
type replicaChurn struct {
	store *memoryStore
	ids   []string // oldest first
	added int
}

func (r *replicaChurn) add(n int) {
	for range n {
		id := fmt.Sprint("m", r.added)
		r.added++
		r.store.put(id, false)
		r.ids = append(r.ids, id)
	}
}

// replaceOldest adds n replicas, removes the n oldest, which a previous call (if any) marked as leaving,
// and marks the next n as leaving.
func (r *replicaChurn) replaceOldest(n int) {
	r.add(n)
	for _, id := range r.ids[:n] {
		r.store.remove(id)
	}
	r.ids = r.ids[n:]
	for _, id := range r.ids[:n] {
		r.store.put(id, true)
	}
}

// flap removes the newest replicas or adds them again.
func (r *replicaChurn) flap(n int, up bool) {
	for _, id := range r.ids[len(r.ids)-n:] {
		if up {
			r.store.put(id, false)
			continue
		}
		r.store.remove(id)
	}
}

// step makes the changes of the n-th step. Steps last 50 ms.
func (r *replicaChurn) step(n int) {
	const replaceEvery, replaced = 16, 8
	const flapEvery, flapping = 17, 18
	const growEvery, grown = 80, 40
	if n%replaceEvery == 0 {
		r.replaceOldest(replaced)
	}
	if n%flapEvery == 0 {
		r.flap(flapping, n%(2*flapEvery) != 0)
	}
	if n%growEvery == 0 {
		r.add(grown)
	}
}

// TestDeparturesReachAllRoutersInTime replaces, removes and adds replicas at the same time, while
// the store refuses a third of the routers. 98 of 100 departures must be known to all routers
// within half of the time in which a leaving replica may receive requests, and all within that
// time.
func TestDeparturesReachAllRoutersInTime(t *testing.T) {
	const (
		first   = 140
		step    = 50 * time.Millisecond
		joining = 4 * time.Second // until all routers have the list
		changes = 120             // steps
	)
	for _, tt := range []struct {
		routers int
		drain   time.Duration
	}{{8, 2 * time.Second}, {largeFleetSize, 3 * time.Second}} {
		t.Run(fmt.Sprint(tt.routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				r := replicaChurn{store: store}
				r.add(first)
				fleet := testFleet{count: tt.routers, drain: tt.drain, delay: 3 * time.Millisecond, store: store, refused: func(i int) bool { return i%3 == 0 }}
				stop := fleet.start(t)
				time.Sleep(joining)
				longestDelays := make(map[string]time.Duration)
				for n := range changes + int(tt.drain/step) {
					if n < changes {
						r.step(n)
					}
					time.Sleep(step)
					for _, router := range fleet.routers {
						store.recordDelays(router, longestDelays)
					}
				}
				if err := stop(); err != nil {
					t.Error(err)
				}
				delays := slices.Sorted(maps.Values(longestDelays))
				p98, maximum := delays[len(delays)*98/100], delays[len(delays)-1]
				t.Logf("%d departures, known to all routers after %v (98th percentile), %v (maximum)", len(delays), p98, maximum)
				if p98 > tt.drain/2 || maximum > tt.drain {
					t.Errorf("known to all routers after %v (98th percentile), %v (maximum); want %v, %v", p98, maximum, tt.drain/2, tt.drain)
				}
			})
		})
	}
}

// TestDepartureTimesAreBounded guards against departure times that are too late, or much too early if the store serves all routers.
func TestDepartureTimesAreBounded(t *testing.T) {
	const (
		drain   = 2 * time.Second
		step    = 50 * time.Millisecond
		joining = 6 * time.Second // the first seconds count as an outage of the store
		changes = 120             // steps
	)
	for name, tt := range map[string]struct {
		refused   func(router int) bool
		allServed bool
	}{
		"all served":      {func(int) bool { return false }, true},
		"a third refused": {func(i int) bool { return i%3 == 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore()
				churn := replicaChurn{store: store}
				churn.add(40)
				fleet := testFleet{count: 8, drain: drain, delay: 3 * time.Millisecond, store: store, refused: tt.refused}
				stop := fleet.start(t)
				time.Sleep(joining)
				var sum departureErrors
				for n := range changes {
					if n%19 == 0 {
						churn.replaceOldest(8)
					}
					time.Sleep(step)
					for _, r := range fleet.routers {
						sum.add(store, r)
					}
				}
				if err := stop(); err != nil {
					t.Error(err)
				}
				t.Logf("%d times known, %d unknown, too long by %v to %v", sum.known, sum.unknown, sum.least, sum.most)
				if sum.known == 0 || sum.least < 0 {
					t.Errorf("%d times are known, too short by up to %v", sum.known, -sum.least)
				}
				if tt.allServed && (sum.unknown > 0 || sum.most > drain/2) {
					t.Errorf("%d times are unknown, the others too long by up to %v", sum.unknown, sum.most)
				}
			})
		})
	}
}

// departureErrors sums up by how much routers overestimate for how long replicas have been leaving.
type departureErrors struct {
	known, unknown int
	least, most    time.Duration
}

// add adds the replicas in the store that the router knows to be leaving.
func (d *departureErrors) add(s *memoryStore, r *Router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.table.ForEach(func(replica *replicas.Replica) {
		at, ok := s.departedAt[replica.ID()]
		if !ok || replica.LeavingFor(r.clock.Now()) == 0 {
			return
		}
		since, ok := r.table.SinceReady(replica)
		if !ok {
			d.unknown++
			return
		}
		excess := since - time.Since(at)
		if d.known == 0 {
			d.least, d.most = excess, excess
		}
		d.known++
		d.least, d.most = min(d.least, excess), max(d.most, excess)
	})
}

// TestListIsReadAtInterval guards against routers that underestimate the age of the list after each
// exchange between them, and so read it later than necessary. Datagrams take as long as between busy
// hosts.
func TestListIsReadAtInterval(t *testing.T) {
	const (
		routers = 30
		drain   = 3 * time.Second
		joining = 4 * time.Second
		length  = 12 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		fleet := testFleet{count: routers, drain: drain, delay: 60 * time.Millisecond, store: store, refused: func(int) bool { return false }}
		stop := fleet.start(t)
		time.Sleep(joining)
		before := store.readCount()
		time.Sleep(length)
		reads := store.readCount() - before
		if err := stop(); err != nil {
			t.Error(err)
		}
		t.Logf("%d reads", reads)
		interval := fleet.routers[0].listInterval()
		if want := int(length / (interval + 2*storeDelay)); reads < want || reads > want*11/10 {
			t.Errorf("%d reads in %v, want %d at an interval of %v", reads, length, want, interval)
		}
	})
}

// TestDepartureTimesAfterOutage guards against planned exits that count as crashes since a message with a departure time was delayed.
func TestDepartureTimesAfterOutage(t *testing.T) {
	for name, tt := range map[string]struct {
		listed, outage time.Duration // how long ago
		known          bool
	}{
		"current":       {time.Millisecond, time.Hour, true},
		"no lists":      {time.Minute, time.Hour, false},
		"recent outage": {time.Millisecond, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			now, drain := r.clock.Now(), r.bounds.Load().drainTime
			r.lists.readAt, r.lists.outageEnd = now.Add(-tt.listed), now.Add(-tt.outage)
			r.table.Merge([]replicas.Entry{{ID: "a", Service: "s", Revision: 1}})
			a := r.table.Ready("s")[0]
			state{r}.ApplyChanges([]replicas.Entry{{ID: "a", Service: "s", Leaving: true, Revision: 2, SinceReady: time.Second}})
			if _, known := r.table.SinceReady(a); known != tt.known {
				t.Errorf("known when the replica was ready: %v, want %v", known, tt.known)
			}
			if lag := (&registry{router: r}).Lag(); (lag < drain) != tt.known {
				t.Errorf("lag %v, drain time %v", lag, drain)
			}
		})
	}
}
