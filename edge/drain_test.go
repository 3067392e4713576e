package edge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/replicas"
)

// TestDeparturePropagationTime computes the time from a change of a replica in the store until
// routers know it, if at the worst moment the store begins to refuse a third of the routers
// without an answer. In 98 of 100 simulations it must be at most half of the time in which a
// leaving replica may receive requests.
func TestDeparturePropagationTime(t *testing.T) {
	const (
		simulations = 2000
		// readTime is the time to read a list of several pages, forwardDelay the time in which
		// a forwarded change reaches nearly all routers, and maxHeartbeatDelay the longest time
		// until the next heartbeat, from which the rest learn of the change.
		readTime          = 40 * time.Millisecond
		forwardDelay      = 60 * time.Millisecond
		maxHeartbeatDelay = 250 * time.Millisecond
		delegateFanout    = 3
		maxDelegateHops   = 2
	)
	for _, tt := range []struct {
		routers int
		drain   time.Duration
	}{{30, 2 * time.Second}, {100, 3 * time.Second}, {370, 4 * time.Second}} {
		r := newTestRouter(t)
		bounds := *r.bounds.Load()
		bounds.drainTime = tt.drain
		r.bounds.Store(&bounds)
		for i := range tt.routers - 1 {
			r.node.AddMember(mesh.Member{Name: string(rune('A'+i%26)) + string(rune('A'+i/26)), Address: "x:1"})
		}
		rnd := rand.New(rand.NewPCG(7, uint64(tt.routers)))
		var times []time.Duration
		for range simulations {
			refused := make([]bool, tt.routers) // by rank
			for i := range refused {
				refused[i] = i < tt.routers/3
			}
			rnd.Shuffle(len(refused), func(i, j int) { refused[i], refused[j] = refused[j], refused[i] })
			// The first router read the list just before the change.
			at := r.listInterval()
			for first, hops := 0, 0; !slices.Contains(refused[first:first+max(hops*delegateFanout, 1)], false); hops++ {
				first += max(hops*delegateFanout, 1)
				at += r.delegateDelay()
				if hops == maxDelegateHops {
					at += r.listInterval() + r.node.SpreadTime() // the other routers notice by themselves
					break
				}
			}
			times = append(times, at+readTime+forwardDelay+maxHeartbeatDelay)
		}
		slices.Sort(times)
		p98 := times[len(times)*98/100]
		t.Logf("%d routers: median %v, 98th percentile %v, maximum %v, limit %v", tt.routers, times[simulations/2], p98, times[simulations-1], tt.drain)
		if p98 > tt.drain/2 || times[simulations-1] > tt.drain {
			t.Errorf("%d routers: 98th percentile %v, maximum %v", tt.routers, p98, times[simulations-1])
		}
	}
}

// TestReaderRemainsActive checks that a router that read the list because those preceding it could
// not remains the reader until a router that precedes it reads the list.
func TestReaderRemainsActive(t *testing.T) {
	const interval, gap = 750 * time.Millisecond, 3 * time.Second
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name  string
		setup func(l *listTracker)
		want  bool
	}{
		{"never read", func(*listTracker) {}, false},
		{"read recently", func(l *listTracker) { l.recordRead(at(0), at(0), gap, false) }, true},
		{"read long ago", func(l *listTracker) { l.recordRead(at(-9000), at(-9000), gap, false) }, false},
		{"own list reported back", func(l *listTracker) {
			l.recordRead(at(0), at(0), gap, false)
			l.merge(at(50), peerList{readAt: at(5), readerScore: 5}, gap)
		}, true},
		{"read by a following router too", func(l *listTracker) {
			l.recordRead(at(0), at(0), gap, false)
			l.merge(at(50), peerList{readAt: at(20), readerScore: 9}, gap)
		}, true},
		{"read by a preceding router too", func(l *listTracker) {
			l.recordRead(at(0), at(0), gap, false)
			l.merge(at(50), peerList{readAt: at(-20), readerScore: 3}, gap)
		}, false},
		{"the first router reads again", func(l *listTracker) {
			l.recordRead(at(-1500), at(-1500), gap, false)
			l.recordRead(at(-750), at(-750), gap, false)
			l.merge(at(50), peerList{readAt: at(-100), readerScore: 0}, gap)
			l.recordRead(at(60), at(60), gap, false)
		}, false},
		{"the first router read before it", func(l *listTracker) {
			l.merge(at(-1400), peerList{readAt: at(-1500), readerScore: 0}, gap)
			l.recordRead(at(-750), at(-750), gap, false)
			l.recordRead(at(0), at(0), gap, false)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l listTracker
			l.start(at(-20000), 5)
			tt.setup(&l)
			if got := l.isActiveReader(at(100), interval); got != tt.want {
				t.Errorf("active reader %v, want %v", got, tt.want)
			}
		})
	}
}

// TestFetchDoesNotStopReader guards against a router that stops being the reader of the list in
// place of the first one when it fetches the replicas of another router, since a response does
// not contain who read them.
func TestFetchDoesNotStopReader(t *testing.T) {
	r := newTestRouter(t)
	now := r.clock.Now()
	interval := r.listInterval()
	for _, ago := range []time.Duration{2 * interval, interval, 0} {
		r.lists.recordRead(now.Add(-ago), now.Add(-ago), r.outageGap(), false)
	}
	a := &mesh.SyncResponse{Entries: []replicas.Entry{{ID: "a", Revision: 1}}, ReadAge: interval / 2, OutageAge: time.Hour}
	if err := (state{r}).Apply(a); err != nil {
		t.Fatal(err)
	}
	if !r.lists.isActiveReader(now, interval) {
		t.Error("the router no longer reads the list at the interval of the first reader")
	}
}

// TestRestoreCountsAsOutage checks that entries missing after the store was restored from a backup
// get time to be written again. This also holds for a router that only received the new epoch from
// another one, and it is not undone by a router that does not know that epoch yet.
func TestRestoreCountsAsOutage(t *testing.T) {
	const gap = 3 * time.Second
	start := time.Unix(1000, 0)
	var l listTracker
	l.start(start, 5)
	l.recordRead(start.Add(time.Minute), start.Add(time.Minute), gap, false)
	now := start.Add(61 * time.Second)
	l.beginEpoch(now)
	if read, _, _ := l.ages(now); read != unknownAge {
		t.Errorf("a list of the previous epoch is published as read %v ago", read)
	}
	if at, outage := l.latest(); at.IsZero() || !outage.Equal(now) {
		t.Errorf("list read at %v, outage until %v", at, outage)
	}
	l.recordRead(now.Add(time.Second), now.Add(time.Second), gap, false)
	if read, outage, _ := l.ages(now.Add(time.Second)); read > time.Second || outage != time.Second {
		t.Errorf("a list of this epoch is published as read %v ago, the outage as over for %v", read, outage)
	}
}
