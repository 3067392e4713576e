// Package budget limits how many requests routers send once more. Each router
// spends its own share of a sum that holds for the fleet, so that no counter is
// shared: a part of the requests that it took itself in the window, and an equal
// part of the fixed extra.
//
// # Usage
//
//	b := budget.New(budget.Config{Ratio: 0.2, Window: 10 * time.Second, Extra: 56}, clock)
//	b.Request("chat")
//	if b.Repeat("chat", routers) {
//		// send once more
//	}
package budget

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

// caution is the part of the fleet's sum that the routers plan to spend: their
// counts of each other lag.
const caution = 0.8

// Config states the fleet's sum: in any Window at most Ratio times the requests
// plus Extra may be sent once more to a service.
type Config struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
}

// Budget counts requests and repeats of one router by service. It is safe for
// concurrent use.
type Budget struct {
	cfg   Config
	clock peridotusher.Clock

	mu       sync.Mutex
	services map[string]*spending
}

type spending struct {
	requests, repeats window
}

// New returns a Budget.
func New(cfg Config, clock peridotusher.Clock) *Budget {
	return &Budget{cfg: cfg, clock: clock, services: make(map[string]*spending)}
}

// Request counts a request for the service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).requests.add(b.clock.Now(), b.cfg.Window)
}

// Repeat reports whether a request may be sent once more to the service, and
// counts it if so. routers is the number of routers that share the extra.
func (b *Budget) Repeat(service string, routers int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.of(service)
	allowed := caution * (b.cfg.Ratio*float64(s.requests.sum(now, b.cfg.Window)) + b.cfg.Extra/float64(max(routers, 1)))
	if float64(s.repeats.sum(now, b.cfg.Window))+1 > allowed {
		return false
	}
	s.repeats.add(now, b.cfg.Window)
	return true
}

func (b *Budget) of(service string) *spending {
	s, ok := b.services[service]
	if !ok {
		s = &spending{}
		b.services[service] = s
	}
	return s
}

// buckets is the resolution of a window.
const buckets = 20

// window counts events of the last Window in buckets.
type window struct {
	counts [buckets + 1]int
	at     int64 // number of the newest bucket
}

func (w *window) advance(now time.Time, length time.Duration) {
	n := now.UnixNano() / int64(length/buckets)
	for w.at < n {
		if n-w.at > buckets {
			*w = window{at: n}
			return
		}
		w.at++
		w.counts[w.at%(buckets+1)] = 0
	}
}

func (w *window) add(now time.Time, length time.Duration) {
	w.advance(now, length)
	w.counts[w.at%(buckets+1)]++
}

func (w *window) sum(now time.Time, length time.Duration) int {
	w.advance(now, length)
	sum := 0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}
