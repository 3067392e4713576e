package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
)

// engines plays model engines that run a fixed number of requests at once and
// are as fast as they are empty; what waits beyond the slots is served late.
type engines struct {
	now      time.Time
	rng      *rand.Rand
	gate     *Gate
	slots    int
	running  []time.Time // when each running request ends
	releases []func()
}

func newEngines(slots int) *engines {
	e := &engines{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(9, 9)), slots: slots}
	e.gate = NewGate(peridotusher.ClockFunc(func() time.Time { return e.now }))
	return e
}

const requestTakes = time.Second

// offer sends a request and reports whether it was taken, and if not when the
// client is to come back.
func (e *engines) offer(priority int, organisation string) (taken bool, after time.Duration) {
	limit := e.gate.Limit(Request{Priority: priority, Organisation: organisation, Draw: e.rng.Float64(), Slots: e.slots, Engine: true})
	if len(e.running) >= limit {
		return false, e.gate.Refuse("s")
	}
	e.running = append(e.running, e.now.Add(requestTakes))
	e.releases = append(e.releases, e.gate.Take(organisation))
	return true, 0
}

func (e *engines) advance(d time.Duration) {
	e.now = e.now.Add(d)
	for len(e.running) > 0 && !e.running[0].After(e.now) {
		e.releases[0]()
		e.gate.Answered("s", requestTakes)
		e.running, e.releases = e.running[1:], e.releases[1:]
	}
}

// TestBurst offers three times what the engines can run: as many as possible are
// taken, never more than run at once, and the urgent ones first.
func TestBurst(t *testing.T) {
	e := newEngines(60)
	rng := rand.New(rand.NewPCG(1, 1))
	var offered, taken [3]int
	most := 0
	for range 2000 {
		e.advance(10 * time.Millisecond)
		for range 2 { // 200 requests a second for 60
			if rng.Float64() < 0.1 {
				continue
			}
			p := rng.IntN(3)
			offered[p]++
			if ok, _ := e.offer(p, ""); ok {
				taken[p]++
			}
			most = max(most, len(e.running))
		}
	}
	if most > e.slots {
		t.Errorf("%d requests ran at once, limit %d", most, e.slots)
	}
	sum := taken[0] + taken[1] + taken[2]
	if want := 0.9 * 60 * 20; float64(sum) < want {
		t.Errorf("%d requests were taken, want %.0f or more", sum, want)
	}
	share := func(p int) float64 { return float64(taken[p]) / float64(offered[p]) }
	if share(0) < 1.5*share(1) || share(1) < share(2) {
		t.Errorf("parts taken by priority = %.2f %.2f %.2f: urgent ones are not served first", share(0), share(1), share(2))
	}
	if all := float64(sum) / float64(offered[0]+offered[1]+offered[2]); share(2) < all/4 {
		t.Errorf("%.2f of the least urgent and %.2f of all were taken: the least urgent are starved", share(2), all)
	}
}

// TestGreedyOrganisation has one organisation send eight times what each of five
// others does; the others hardly notice.
func TestGreedyOrganisation(t *testing.T) {
	e := newEngines(60)
	rng := rand.New(rand.NewPCG(2, 1))
	names := []string{"a", "b", "c", "d", "e"}
	var offered, taken [2]int
	for range 3000 {
		e.advance(10 * time.Millisecond)
		who, i := names[rng.IntN(len(names))], 0
		if rng.IntN(13) < 8 {
			who, i = "greedy", 1
		}
		offered[i]++
		if ok, _ := e.offer(0, who); ok {
			taken[i]++
		}
	}
	share := func(i int) float64 { return float64(taken[i]) / float64(offered[i]) }
	if share(0) < 0.95 {
		t.Errorf("%.2f of the others' requests were taken, want 0.95 or more", share(0))
	}
	if share(1) < 0.2 {
		t.Errorf("%.2f of the greedy organisation's requests were taken: it is starved", share(1))
	}
}

// TestComeBack has refused clients come back when they are told: with many more
// refusals they wait longer, and most find room at the second time.
func TestComeBack(t *testing.T) {
	e := newEngines(60)
	type client struct {
		at     time.Time
		second bool
	}
	var waiting []client
	second, found := 0, 0
	var longest time.Duration
	for tick := range 1500 {
		e.advance(10 * time.Millisecond)
		due := []client{}
		rest := waiting[:0]
		for _, c := range waiting {
			if c.at.After(e.now) {
				rest = append(rest, c)
			} else {
				due = append(due, c)
			}
		}
		waiting = rest
		if tick < 300 && tick%2 == 0 { // a burst of 3 s: 100 requests a second for 60
			due = append(due, client{}, client{})
		}
		for _, c := range due {
			ok, after := e.offer(0, "")
			if c.second {
				second++
				if ok {
					found++
				}
				continue
			}
			if !ok {
				longest = max(longest, after)
				waiting = append(waiting, client{at: e.now.Add(after), second: true})
			}
		}
	}
	if second == 0 || found*2 < second {
		t.Errorf("%d of %d that came back found room", found, second)
	}
	if longest <= comeBackLeast || longest > comeBackMost {
		t.Errorf("the longest time to come back is %v", longest)
	}
}

func TestPlainServicesQueueShortly(t *testing.T) {
	g := NewGate(peridotusher.ClockFunc(time.Now))
	if got := g.Limit(Request{Slots: 6}); got != 18 {
		t.Errorf("limit = %d, want 18", got)
	}
	if got := g.Limit(Request{Slots: 6, Engine: true, Priority: 9, Draw: 0.9}); got != 5 {
		t.Errorf("limit = %d, want 5", got)
	}
}
