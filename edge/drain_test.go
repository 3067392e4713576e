package edge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/replicas"
)

// TestLeavingIsKnownInTime computes how long after the store took it in a change of a
// replica is known at routers, when the store begins to turn a third of the routers away
// at the worst moment, without an answer. It has to take less than half of the time in
// which a leaving replica may get requests.
func TestLeavingIsKnownInTime(t *testing.T) {
	const (
		plays = 2000
		// readTime is that of a list of several pages, told that in which a change told
		// at once reaches nearly all, and heard the longest time to the next heartbeat that
		// tells the rest.
		readTime = 40 * time.Millisecond
		ttl      = 60 * time.Millisecond
		heard    = 250 * time.Millisecond
		passFan  = 3
		passHops = 2
	)
	for _, tt := range []struct {
		routers int
		drain   time.Duration
	}{{30, 2 * time.Second}, {100, 3 * time.Second}, {370, 4 * time.Second}} {
		r := newTestRouter(t)
		bounds := *r.bounds.Load()
		bounds.drain = tt.drain
		r.bounds.Store(&bounds)
		for i := range tt.routers - 1 {
			r.node.AddMember(mesh.Member{Name: string(rune('A'+i%26)) + string(rune('A'+i/26)), Address: "x:1"})
		}
		rnd := rand.New(rand.NewPCG(7, uint64(tt.routers)))
		var times []time.Duration
		for range plays {
			refused := make([]bool, tt.routers) // by rank
			for i := range refused {
				refused[i] = i < tt.routers/3
			}
			rnd.Shuffle(len(refused), func(i, j int) { refused[i], refused[j] = refused[j], refused[i] })
			// The first one read the list just before the change.
			at := r.listPace()
			for first, hops := 0, 0; !slices.Contains(refused[first:first+max(hops*passFan, 1)], false); hops++ {
				first += max(hops*passFan, 1)
				at += r.delegateTime()
				if hops == passHops {
					at += r.listPace() + r.node.SpreadTime() // the others find out by themselves
					break
				}
			}
			times = append(times, at+readTime+ttl+heard)
		}
		slices.Sort(times)
		nearly := times[len(times)*98/100]
		t.Logf("%d routers: %v at half of the plays, %v at 98 of 100, %v at worst, bound %v", tt.routers, times[plays/2], nearly, times[plays-1], tt.drain)
		if nearly > tt.drain/2 || times[plays-1] > tt.drain {
			t.Errorf("%d routers: %v at 98 of 100 plays, %v at worst", tt.routers, nearly, times[plays-1])
		}
	}
}

// TestReaderKeepsThePace has routers that read the list because one before them could not:
// the first of them goes on, until one that comes before it reads.
func TestReaderKeepsThePace(t *testing.T) {
	const pace, gap = 750 * time.Millisecond, 3 * time.Second
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name string
		play func(l *reading)
		want bool
	}{
		{"never read", func(*reading) {}, false},
		{"read a moment ago", func(l *reading) { l.read(at(0), at(0), gap, false) }, true},
		{"read long ago", func(l *reading) { l.read(at(-9000), at(-9000), gap, false) }, false},
		{"its own list comes back", func(l *reading) {
			l.read(at(0), at(0), gap, false)
			l.merge(at(50), peerList{at: at(5), by: 5}, gap)
		}, true},
		{"a later one read it too", func(l *reading) {
			l.read(at(0), at(0), gap, false)
			l.merge(at(50), peerList{at: at(20), by: 9}, gap)
		}, true},
		{"an earlier one read it too", func(l *reading) {
			l.read(at(0), at(0), gap, false)
			l.merge(at(50), peerList{at: at(-20), by: 3}, gap)
		}, false},
		{"the first one reads again", func(l *reading) {
			l.read(at(-1500), at(-1500), gap, false)
			l.read(at(-750), at(-750), gap, false)
			l.merge(at(50), peerList{at: at(-100), by: 0}, gap)
			l.read(at(60), at(60), gap, false)
		}, false},
		{"the first one read last before it", func(l *reading) {
			l.merge(at(-1400), peerList{at: at(-1500), by: 0}, gap)
			l.read(at(-750), at(-750), gap, false)
			l.read(at(0), at(0), gap, false)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l reading
			l.start(at(-20000), 5)
			tt.play(&l)
			if got := l.keeps(at(100), pace); got != tt.want {
				t.Errorf("keeps the pace %v, want %v", got, tt.want)
			}
		})
	}
}

// TestFetchKeepsThePace has a router that reads the list in the place of the first one fetch
// the replicas of another router, which does not tell who read them.
func TestFetchKeepsThePace(t *testing.T) {
	r := newTestRouter(t)
	now := r.clock.Now()
	pace := r.listPace()
	for _, ago := range []time.Duration{2 * pace, pace, 0} {
		r.reading.read(now.Add(-ago), now.Add(-ago), r.outageGap(), false)
	}
	a := &mesh.SyncResponse{Entries: []replicas.Entry{{ID: "a", Revision: 1}}, ReadAge: pace / 2, OutageAge: time.Hour}
	if err := (state{r}).Apply(a); err != nil {
		t.Fatal(err)
	}
	if !r.reading.keeps(now, pace) {
		t.Error("the router reads the list no longer at the pace of a first reader")
	}
}

// TestCopyIsAnOutage has the store set up again from a copy: what it lacks has time to be
// written again, also at a router that only hears of the epoch, and one that has not heard
// of it yet does not talk it out of that.
func TestCopyIsAnOutage(t *testing.T) {
	const gap = 3 * time.Second
	start := time.Unix(1000, 0)
	var l reading
	l.start(start, 5)
	l.read(start.Add(time.Minute), start.Add(time.Minute), gap, false)
	now := start.Add(61 * time.Second)
	l.begin(now)
	if read, _, _ := l.ages(now); read != unknownAge {
		t.Errorf("a list of the era before is told as read %v ago", read)
	}
	if at, outage := l.last(); at.IsZero() || !outage.Equal(now) {
		t.Errorf("list read at %v, outage until %v", at, outage)
	}
	l.read(now.Add(time.Second), now.Add(time.Second), gap, false)
	if read, outage, _ := l.ages(now.Add(time.Second)); read > time.Second || outage != time.Second {
		t.Errorf("a list of this era is told as read %v ago, the outage as over for %v", read, outage)
	}
}
