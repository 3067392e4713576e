package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/callers"
)

// The traffic of one run.
const (
	chatCount    = 60
	turnsPerChat = 8
	labelCount   = 120
	reportCount  = 8
	saveCount    = 60
	chatTokens   = 40
	labelTokens  = 8
	reportTokens = 300
	chatPause    = 400 * time.Millisecond
	labelPause   = 50 * time.Millisecond
	// maxReturns is how often a client resends a request that the router refused with a request
	// to retry later.
	maxReturns = 5
)

// organisations are those of the sample configuration.
var organisations = []string{"shop-athina", "shop-pireas", "shop-elefsina", "shop-marousi", "shop-glyfada"}

// traffic sends the requests and collects their results.
type traffic struct {
	balancer *callers.Balancer
	seed     uint64

	mu      sync.Mutex
	results []callers.Result
	keys    []string
}

func newTraffic(f *fleet, seed uint64) *traffic {
	return &traffic{balancer: &callers.Balancer{URLs: f.urls}, seed: seed}
}

// run sends all requests, runs stops concurrently and returns the results.
func (t *traffic) run(ctx context.Context, stops func() error) summary {
	var group errgroup.Group
	for n := range chatCount {
		group.Go(func() error { t.chat(ctx, n); return nil })
	}
	for n := range reportCount {
		group.Go(func() error { t.report(ctx, n); return nil })
	}
	group.Go(func() error { t.labels(ctx); return nil })
	group.Go(func() error { t.saves(ctx); return nil })
	group.Go(stops)
	err := group.Wait()
	return summary{results: t.results, keys: t.keys, stopError: err}
}

// chat sends the turns of one chat with pauses between them. Each turn repeats the earlier ones.
func (t *traffic) chat(ctx context.Context, n int) {
	c := t.client(n)
	messages := []callers.Message{{Role: "system", Content: "You advise on sizes."}}
	for turn := range turnsPerChat {
		messages = append(messages, callers.Message{Role: "user", Content: fmt.Sprintf("chat %d turn %d: does size %d fit?", n, turn, 36+turn)})
		r := c.Complete(ctx, callers.Completion{Class: "chat", Chat: fmt.Sprintf("chat-%d", n), Messages: messages, Tokens: chatTokens, Stream: n%2 == 0})
		t.add(r)
		messages = append(messages, callers.Message{Role: "assistant", Content: r.Text})
		if !c.Pause(ctx, chatPause) {
			return
		}
	}
}

// report sends one request with a long answer.
func (t *traffic) report(ctx context.Context, n int) {
	c := t.client(chatCount + n)
	messages := []callers.Message{{Role: "user", Content: fmt.Sprintf("report %d on the whole catalogue", n)}}
	t.add(c.Complete(ctx, callers.Completion{Class: "report", Messages: messages, Tokens: reportTokens, Stream: true}))
}

// labels sends short requests one after the other.
func (t *traffic) labels(ctx context.Context) {
	c := t.client(chatCount + reportCount)
	for n := range labelCount {
		messages := []callers.Message{{Role: "user", Content: fmt.Sprintf("label %d", n)}}
		t.add(c.Complete(ctx, callers.Completion{Class: "label", Messages: messages, Tokens: labelTokens}))
		if !c.Pause(ctx, labelPause) {
			return
		}
	}
}

// saves sends each non-idempotent call twice with the same idempotency key, through different
// routers, and reads the saved value back.
func (t *traffic) saves(ctx context.Context) {
	c := t.client(chatCount + reportCount + 1)
	for n := range saveCount {
		key := fmt.Sprintf("save-%d-%d", t.seed, n)
		path := fmt.Sprintf("/services/profiles/profiles/%d", n)
		body := fmt.Sprintf(`{"chest":%d}`, 80+n)
		save := callers.Call{Method: http.MethodPost, Path: path, Body: body, Key: key, Want: body}
		t.addKey(key)
		t.add(c.Call(ctx, save))
		t.add(c.Call(ctx, save))
		t.add(c.Call(ctx, callers.Call{Method: http.MethodGet, Path: path, Want: body}))
		if !c.Pause(ctx, labelPause) {
			return
		}
	}
}

func (t *traffic) client(n int) *callers.Caller {
	return &callers.Caller{
		Balancer:   t.balancer,
		Key:        "kalimera-" + organisations[n%len(organisations)] + "-example-key",
		Model:      "stylist",
		Rand:       rand.New(rand.NewPCG(t.seed, uint64(n))),
		MaxRetries: maxReturns,
	}
}

func (t *traffic) add(r callers.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

func (t *traffic) addKey(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys = append(t.keys, key)
}
