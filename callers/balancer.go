package callers

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// readyTimeout bounds one readiness check.
const readyTimeout = time.Second

// ErrNoRouter means that no router is ready.
var ErrNoRouter = errors.New("no router is ready")

// Balancer chooses a router that is ready, as the platform's load balancer does.
type Balancer struct {
	URLs     func() []string // base URLs of the routers
	Interval time.Duration   // how long a readiness check is reused; zero checks each time
	HTTP     *http.Client    // Client when nil

	mu     sync.Mutex
	checks map[string]check
}

// check is the outcome of one readiness check.
type check struct {
	ready bool
	at    time.Time
}

// Client is the HTTP client of callers. It uses no proxy.
var Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}}

// Choose returns the URL of a random router that is ready.
func (b *Balancer) Choose(ctx context.Context, random *rand.Rand) (string, error) {
	urls := b.URLs()
	for _, n := range random.Perm(len(urls)) {
		if b.ready(ctx, urls[n]) {
			return urls[n], nil
		}
	}
	return "", ErrNoRouter
}

// ready returns the last readiness of the router, and checks it again once that is
// older than Interval.
func (b *Balancer) ready(ctx context.Context, url string) bool {
	b.mu.Lock()
	last, ok := b.checks[url]
	b.mu.Unlock()
	if ok && time.Since(last.at) < b.Interval {
		return last.ready
	}
	now := check{ready: Ready(ctx, b.client(), url), at: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.checks == nil {
		b.checks = map[string]check{}
	}
	b.checks[url] = now
	return now.ready
}

func (b *Balancer) client() *http.Client {
	if b.HTTP == nil {
		return Client
	}
	return b.HTTP
}

// Ready requests /readyz from the router and returns whether it answers 200.
func Ready(ctx context.Context, client *http.Client, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
