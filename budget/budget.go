// Package budget limits how many requests routers retry. The limit holds for the fleet, but no
// counter is shared: each router may retry a fraction of the requests that it received itself
// within the window, plus an equal share of a fixed number.
//
// # Usage
//
//	b := budget.New(budget.Config{Ratio: 0.2, Window: 10 * time.Second, Extra: 56}, clock)
//	b.Request("chat")
//	if b.Retry("chat", routers) {
//		// Send the request again.
//	}
package budget

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

// usableFraction is the fraction of the fleet's limit that the routers use. The rest allows for
// routers that do not know the current number of routers yet.
const usableFraction = 0.8

// Config is the fleet's limit for a service: in any Window, at most Ratio times the number of
// requests plus Extra may be retried.
type Config struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
}

// Budget counts the requests and retries of one router by service. It is safe for concurrent use.
type Budget struct {
	cfg   Config
	clock peridotusher.Clock

	mu       sync.Mutex
	services map[string]*serviceCounts
}

// serviceCounts holds the requests and retries of a service within the window.
type serviceCounts struct {
	requests, retries window
}

// New returns a Budget.
func New(cfg Config, clock peridotusher.Clock) *Budget {
	return &Budget{cfg: cfg, clock: clock, services: make(map[string]*serviceCounts)}
}

// Request counts a request to the service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts(service).requests.add(b.clock.Now(), b.cfg.Window)
}

// Retry reports whether a request to the service may be retried, and counts the retry if so.
// routers is the number of routers that share Extra.
func (b *Budget) Retry(service string, routers int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	s := b.counts(service)
	allowed := usableFraction *
		(b.cfg.Ratio*float64(s.requests.sum(now, b.cfg.Window)) + b.cfg.Extra/float64(max(routers, 1)))
	if float64(s.retries.sum(now, b.cfg.Window))+1 > allowed {
		return false
	}
	s.retries.add(now, b.cfg.Window)
	return true
}

func (b *Budget) counts(service string) *serviceCounts {
	s, ok := b.services[service]
	if !ok {
		s = &serviceCounts{}
		b.services[service] = s
	}
	return s
}

// buckets is the number of buckets into which a window is divided.
const buckets = 20

// window counts the events of the latest Config.Window in buckets.
type window struct {
	counts [buckets + 1]int
	newest int64 // number of the newest bucket
}

// advance clears the buckets that have left the window.
func (w *window) advance(now time.Time, length time.Duration) {
	n := now.UnixNano() / int64(length/buckets)
	for w.newest < n {
		if n-w.newest > buckets {
			*w = window{newest: n}
			return
		}
		w.newest++
		w.counts[w.newest%(buckets+1)] = 0
	}
}

func (w *window) add(now time.Time, length time.Duration) {
	w.advance(now, length)
	w.counts[w.newest%(buckets+1)]++
}

func (w *window) sum(now time.Time, length time.Duration) int {
	w.advance(now, length)
	sum := 0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}
