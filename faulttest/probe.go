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
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// probe checks on every router whether the accepted edits are in force, which is the
// case once it accepts the new organisation's key.
type probe struct {
	editor *editor
	urls   func() []string

	mu         sync.Mutex
	acceptedAt map[string]map[int]time.Time // time at which a router first accepted an edit's key, by router and edit
	reverts    []string
}

func newProbe(ed *editor, urls func() []string) *probe {
	return &probe{editor: ed, urls: urls, acceptedAt: map[string]map[int]time.Time{}}
}

// run probes all routers at intervals until sending ends.
func (p *probe) run(ctx, sending context.Context) {
	for sending.Err() == nil {
		var group errgroup.Group
		for _, url := range p.urls() {
			group.Go(func() error { p.probeRouter(ctx, url); return nil })
		}
		// The functions of the group return nil.
		_ = group.Wait()
		select {
		case <-sending.Done():
		case <-time.After(probeInterval):
		}
	}
}

// probeRouter checks the edits whose keys one router has not accepted yet, and whether
// it still accepts the key of the newest edit that it had accepted.
func (p *probe) probeRouter(ctx context.Context, url string) {
	newest := -1
	for _, e := range p.editor.acceptedEdits() {
		if p.hasAccepted(url, e.number) {
			newest = e.number
			continue
		}
		if p.keyStatus(ctx, url, e.number) == http.StatusOK {
			p.recordAccepted(url, e.number)
		}
	}
	// Callers send nothing to a router that is not ready, so that it may lack the edit.
	if newest < 0 || p.keyStatus(ctx, url, newest) != http.StatusUnauthorized || !callers.Ready(ctx, callers.Client, url) {
		return
	}
	if p.keyStatus(ctx, url, newest) == http.StatusUnauthorized {
		p.recordRevert(url, newest)
	}
}

// keyStatus returns the status of a router's answer to a request with the edit's key,
// zero without an answer.
func (p *probe) keyStatus(ctx context.Context, url string, n int) int {
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

func (p *probe) hasAccepted(url string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.acceptedAt[url][n]
	return ok
}

func (p *probe) recordAccepted(url string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.acceptedAt[url] == nil {
		p.acceptedAt[url] = map[int]time.Time{}
	}
	p.acceptedAt[url][n] = time.Now()
}

func (p *probe) recordRevert(url string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reverts = append(p.reverts, fmt.Sprintf("%s no longer has edit %d at %s", url, n, time.Now().Format(time.StampMilli)))
}
