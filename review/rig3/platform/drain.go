package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// callInterval is the time between two requests of the traffic to plain services.
const callInterval = 10 * time.Millisecond

// calls is steady traffic of requests that must not be repeated.
type calls struct {
	wait    sync.WaitGroup
	mu      sync.Mutex
	results []result
}

// startCalls sends requests at intervals for a time.
func (b *bed) startCalls(length time.Duration) *calls {
	c := &calls{}
	c.wait.Go(func() {
		tick := time.NewTicker(callInterval)
		defer tick.Stop()
		until := time.Now().Add(length)
		for n := 0; time.Now().Before(until); n++ {
			<-tick.C
			c.wait.Go(func() {
				r := b.send(11+n%2, "POST", "/save/2f", nil, time.Second)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.results = append(c.results, r)
			})
		}
	})
	return c
}

// failed waits for the answers and returns how many requests there were, and how many were not answered with a
// success.
func (c *calls) failed() (all, failed int) {
	c.wait.Wait()
	for _, r := range c.results {
		if r.status != 200 || !r.complete {
			failed++
		}
	}
	return len(c.results), failed
}

// runTimes returns when the replica began to run requests.
func (r *replica) runTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.ranAt...)
}

// playLateBeat lets the store execute a replica's beat late, after the replica has reported that it is draining.
// The rule is broken by requests that reach the replica later than the drain time after that report.
func playLateBeat(b *bed, trouble bool) (verdict, error) {
	const (
		stableWindow = 3 * time.Second
		late         = 4300 * time.Millisecond
		overstay     = 600 * time.Millisecond
	)
	all, err := b.deploy()
	if err != nil {
		return verdict{}, err
	}
	c := b.startCalls(10 * time.Second)
	leaving := all[len(all)-1]
	for !leaving.isAboutToBeat() {
		time.Sleep(time.Millisecond)
	}
	if trouble {
		b.sendLateBeat(leaving, late)
	}
	time.Sleep(stableWindow + 200*time.Millisecond)
	b.reportDraining(leaving)
	drained := time.Now().Add(drainTime)
	time.Sleep(drainTime + overstay)
	if err := b.exit(leaving); err != nil {
		return verdict{}, err
	}
	sent, failed := c.failed()
	beyond := 0
	for _, at := range leaving.runTimes() {
		if at.After(drained) {
			beyond++
		}
	}
	text := fmt.Sprintf("%d requests reached the replica later than drain-ms after its report; of %d requests %d failed: %s", beyond, sent, failed, c.failures())
	return verdict{broken: beyond > 0, text: text}, nil
}

// failures lists the statuses of the requests that failed.
func (c *calls) failures() string {
	var out []string
	for _, r := range c.results {
		if r.status != 200 || !r.complete {
			out = append(out, fmt.Sprintf("%s: %d", r.id, r.status))
		}
	}
	return strings.Join(out, ", ")
}
