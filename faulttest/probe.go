package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/callers"
)

const (
	probePause   = 100 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// probe asks every router whether the accepted edits are in force there: a
// new organisation's key is accepted or it is not.
type probe struct {
	editor *editor
	urls   func() []string

	mu      sync.Mutex
	seen    map[string]map[int]time.Time // first acceptance by router and edit
	reverts []string
}

func newProbe(ed *editor, urls func() []string) *probe {
	return &probe{editor: ed, urls: urls, seen: map[string]map[int]time.Time{}}
}

// run probes until playing ends.
func (p *probe) run(ctx, playing context.Context) {
	for playing.Err() == nil {
		var group errgroup.Group
		for _, url := range p.urls() {
			group.Go(func() error { p.router(ctx, url); return nil })
		}
		// The probes report no errors.
		_ = group.Wait()
		select {
		case <-playing.Done():
		case <-time.After(probePause):
		}
	}
}

// router asks one router for the edits that it has not accepted yet, and
// again for the newest that it has.
func (p *probe) router(ctx context.Context, url string) {
	newest := -1
	for _, e := range p.editor.all() {
		if p.has(url, e.number) {
			newest = e.number
			continue
		}
		if p.ask(ctx, url, e.number) == http.StatusOK {
			p.add(url, e.number)
		}
	}
	// A router that is not ready is asked by no caller.
	if newest < 0 || p.ask(ctx, url, newest) != http.StatusUnauthorized || !callers.Ready(ctx, callers.Client, url) {
		return
	}
	if p.ask(ctx, url, newest) == http.StatusUnauthorized {
		p.revert(url, newest)
	}
}

// ask returns the status that a router gives to the edit's key, zero for none.
func (p *probe) ask(ctx context.Context, url string, n int) int {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/models", nil)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+probeKey(n))
	resp, err := callers.Client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func (p *probe) has(url string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.seen[url][n]
	return ok
}

func (p *probe) add(url string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen[url] == nil {
		p.seen[url] = map[int]time.Time{}
	}
	p.seen[url][n] = time.Now()
}

func (p *probe) revert(url string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reverts = append(p.reverts, fmt.Sprintf("%s no longer has edit %d at %s", url, n, time.Now().Format(time.StampMilli)))
}
