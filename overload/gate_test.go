package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"peridotusher.example/peridotusher"
)

// simulation simulates the slots of model engines: slots requests run at once, each for
// requestDuration.
type simulation struct {
	now      time.Time
	rng      *rand.Rand
	gate     *Gate
	slots    int
	running  []time.Time // when each running request ends
	releases []func()
}

func newSimulation(slots int) *simulation {
	s := &simulation{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(9, 9)), slots: slots}
	s.gate = NewGate(peridotusher.ClockFunc(func() time.Time { return s.now }))
	return s
}

const requestDuration = time.Second

// offer sends a request and reports whether it was accepted, and if not, the time after which
// the client should retry.
func (s *simulation) offer(priority int, organisation string) (accepted bool, retryAfter time.Duration) {
	limit := s.gate.Limit(Request{
		Priority: priority, Organisation: organisation, Random: s.rng.Float64(), Slots: s.slots, Engine: true,
	})
	if len(s.running) >= limit {
		return false, s.gate.RecordRefusal("s")
	}
	s.running = append(s.running, s.now.Add(requestDuration))
	s.releases = append(s.releases, s.gate.Begin(organisation))
	return true, 0
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for len(s.running) > 0 && !s.running[0].After(s.now) {
		s.releases[0]()
		s.gate.RecordAnswer("s", requestDuration)
		s.running, s.releases = s.running[1:], s.releases[1:]
	}
}

// TestBurst offers three times the requests that the engines can run. As many as possible must
// be accepted, never more than the slots at once, and urgent ones first.
func TestBurst(t *testing.T) {
	s := newSimulation(60)
	rng := rand.New(rand.NewPCG(1, 1))
	var offered, accepted [3]int // by priority
	maxRunning := 0
	for range 2000 {
		s.advance(10 * time.Millisecond)
		for range 2 { // 200 requests a second for 60 slots
			if rng.Float64() < 0.1 {
				continue
			}
			p := rng.IntN(3)
			offered[p]++
			if ok, _ := s.offer(p, ""); ok {
				accepted[p]++
			}
			maxRunning = max(maxRunning, len(s.running))
		}
	}
	if maxRunning > s.slots {
		t.Errorf("%d requests ran at once, limit %d", maxRunning, s.slots)
	}
	sum := accepted[0] + accepted[1] + accepted[2]
	if want := 0.9 * 60 * 20; float64(sum) < want {
		t.Errorf("%d requests were accepted, want %.0f or more", sum, want)
	}
	share := func(p int) float64 { return float64(accepted[p]) / float64(offered[p]) }
	if share(0) < 1.5*share(1) || share(1) < share(2) {
		t.Errorf("shares accepted by priority = %.2f %.2f %.2f: urgent ones are not served first", share(0), share(1), share(2))
	}
	if all := float64(sum) / float64(offered[0]+offered[1]+offered[2]); share(2) < all/4 {
		t.Errorf("%.2f of the least urgent and %.2f of all were accepted: the least urgent are starved", share(2), all)
	}
}

// TestGreedyOrganisation has one organisation send eight times as many requests as each of five
// others. Hardly any request of the others may be refused for that.
func TestGreedyOrganisation(t *testing.T) {
	s := newSimulation(60)
	rng := rand.New(rand.NewPCG(2, 1))
	names := []string{"a", "b", "c", "d", "e"}
	var offered, accepted [2]int // of the five others, of the greedy one
	for range 3000 {
		s.advance(10 * time.Millisecond)
		who, i := names[rng.IntN(len(names))], 0
		if rng.IntN(13) < 8 {
			who, i = "greedy", 1
		}
		offered[i]++
		if ok, _ := s.offer(0, who); ok {
			accepted[i]++
		}
	}
	share := func(i int) float64 { return float64(accepted[i]) / float64(offered[i]) }
	if share(0) < 0.95 {
		t.Errorf("%.2f of the others' requests were accepted, want 0.95 or more", share(0))
	}
	if share(1) < 0.2 {
		t.Errorf("%.2f of the greedy organisation's requests were accepted: it is starved", share(1))
	}
}

// TestRetryAfter has refused clients retry after the time that they were given. It must grow with
// the number of refusals, and most second attempts must be accepted.
func TestRetryAfter(t *testing.T) {
	s := newSimulation(60)
	type client struct {
		at     time.Time
		second bool
	}
	var waiting []client
	second, accepted := 0, 0
	var longest time.Duration
	for tick := range 1500 {
		s.advance(10 * time.Millisecond)
		attempts := []client{}
		rest := waiting[:0]
		for _, c := range waiting {
			if c.at.After(s.now) {
				rest = append(rest, c)
			} else {
				attempts = append(attempts, c)
			}
		}
		waiting = rest
		if tick < 300 && tick%2 == 0 { // a burst of 3 s: 100 requests a second for 60 slots
			attempts = append(attempts, client{}, client{})
		}
		for _, c := range attempts {
			ok, retryAfter := s.offer(0, "")
			if c.second {
				second++
				if ok {
					accepted++
				}
				continue
			}
			if !ok {
				longest = max(longest, retryAfter)
				waiting = append(waiting, client{at: s.now.Add(retryAfter), second: true})
			}
		}
	}
	if second == 0 || accepted*2 < second {
		t.Errorf("%d of %d second attempts were accepted", accepted, second)
	}
	if longest <= minRetryAfter || longest > maxRetryAfter {
		t.Errorf("the longest time until a retry is %v", longest)
	}
}

func TestLimitByKindOfService(t *testing.T) {
	g := NewGate(peridotusher.ClockFunc(time.Now))
	if got := g.Limit(Request{Slots: 6}); got != 18 {
		t.Errorf("limit = %d, want 18", got)
	}
	if got := g.Limit(Request{Slots: 6, Engine: true, Priority: 9, Random: 0.9}); got != 5 {
		t.Errorf("limit = %d, want 5", got)
	}
}
