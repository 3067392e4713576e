package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	attempt, operation string
	sentAt             time.Time
	status             int // 0 without an answer
	whole              bool
	body, signature    string
	key, router        string
	retryAfter         time.Duration
}

// clients send requests to routers and keep the answers.
type clients struct {
	routers []*router
	http    *http.Client
	next    atomic.Int64

	mu      sync.Mutex
	answers []answer
	group   sync.WaitGroup
}

func newClients(routers ...*router) *clients {
	// Each attempt has a channel of its own, and nothing is sent again by itself.
	return &clients{routers: routers, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends one attempt without a key to a router and keeps the answer.
func (c *clients) send(r *router, method, path, body string, budget time.Duration) answer {
	return c.sendWithKey(r, method, path, body, budget, "")
}

// sendWithKey sends one attempt to a router and keeps the answer.
func (c *clients) sendWithKey(r *router, method, path, body string, budget time.Duration, key string) answer {
	a := answer{attempt: fmt.Sprintf("%016x", 0x1c41d07b00000000+c.next.Add(1)), operation: path, sentAt: time.Now(), key: key, router: r.name}
	req, err := http.NewRequest(method, "http://"+r.front()+path, strings.NewReader(body))
	if err != nil {
		panic(err) // only requests of this program
	}
	if body == "" {
		req.Body = http.NoBody
	}
	req.Host = "shop.example"
	req.Header.Set("X-Attempt-Id", a.attempt)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("X-Key", key)
	}
	if resp, err := c.http.Do(req); err == nil {
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.whole, a.body, a.signature = resp.StatusCode, err == nil, string(text), resp.Header.Get("X-Replica-Signature")
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			a.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// all returns the answers so far.
func (c *clients) all() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.answers...)
}

// pace calls f at a steady rate for a time, each call in a goroutine, and waits for them.
func (c *clients) pace(perSecond int, length time.Duration, f func(i int)) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for i := range int(float64(perSecond) * length.Seconds()) {
		<-tick.C
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			f(i)
		}()
	}
	c.group.Wait()
}

// countByStatus formats how many answers had which status.
func countByStatus(answers []answer) string {
	counts := make(map[int]int)
	for _, a := range answers {
		counts[a.status]++
	}
	return fmt.Sprint(counts)
}
