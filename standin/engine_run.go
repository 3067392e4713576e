package standin

import (
	"fmt"
	"slices"
	"time"
)

// engineRun is one chat completion and its events. The Engine's mu guards it.
type engineRun struct {
	stream      string
	request     string
	chat        string
	model       string
	version     string
	notBefore   time.Time // earliest time at which it may enter the batch
	hash        string
	priority    int
	work        int
	prompt      int  // tokens
	limit       int  // tokens of the complete answer
	deadly      bool // crashes the engine at its first token
	priorTokens int  // tokens of the answer that another engine generated
	cached      int  // prompt tokens found in the cache

	tokens  int
	events  []string // data of each event, by offset
	ended   bool     // no event will follow
	stopped bool     // canceled, so no [DONE] event is sent
	changed chan struct{}
	readers int
	idleAt  time.Time // when a reader last disconnected
}

// notify wakes the run's readers by closing changed.
func (r *engineRun) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// stop ends the run without a [DONE] event.
func (r *engineRun) stop() {
	if !r.ended {
		r.ended, r.stopped = true, true
	}
	r.notify()
}

// generate appends the next token's event, and after the last token the finish reason
// and the usage.
func (r *engineRun) generate() {
	r.events = append(r.events, r.chunk(engineToken(r.request, r.hash, r.tokens, r.limit), ""))
	r.tokens++
	if r.tokens == r.limit {
		r.events = append(r.events, r.chunk("", "length"), r.usage())
		r.ended = true
	}
	r.notify()
}

// engineToken returns token i of n of an answer.
func engineToken(request, hash string, i, n int) string {
	mark := fmt.Sprintf("r=%s h=%s", request, hash)
	switch {
	case n == 1:
		return mark + " end"
	case i == 0:
		return mark
	case i == n-1:
		return " " + mark + " end"
	default:
		return fmt.Sprintf(" %d", i)
	}
}

// admit moves waiting runs into the batch, lowest priority number first, and
// returns the duration of the next step and whether the batch has runs. It also
// removes streams without a reader.
func (e *Engine) admit() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reap()
	prefill := 0
	for {
		run := e.takeNext()
		if run == nil {
			break
		}
		run.cached = e.cache.lookup(run.chat, run.prompt)
		e.stats.HitTokens += run.cached
		e.stats.MissTokens += run.prompt - run.cached
		e.stats.Runs[run.request]++
		e.stats.Order = append(e.stats.Order, run.request)
		prefill += run.prompt - run.cached
		e.batch = append(e.batch, run)
	}
	e.sample()
	pause := e.TokenTime + time.Duration(prefill)*e.PrefillPerToken
	return time.Duration(float64(pause) * e.faults.slow), len(e.batch) > 0
}

// takeNext removes the next waiting run from the queue and returns it, or nil if there
// is none or it does not fit into the batch.
func (e *Engine) takeNext() *engineRun {
	best := -1
	now := e.Clock.Now()
	for i, run := range e.queue {
		if run.notBefore.After(now) {
			continue
		}
		if best < 0 || run.priority < e.queue[best].priority {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	run := e.queue[best]
	if len(e.batch) > 0 && engineWork(e.batch)+run.work > e.Slots {
		return nil
	}
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	return run
}

// engineWork returns the sum of the runs' work units.
func engineWork(runs []*engineRun) int {
	sum := 0
	for _, run := range runs {
		sum += run.work
	}
	return sum
}

// crashesNow returns whether the batch has a run that crashes the engine.
func (e *Engine) crashesNow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.batch, func(run *engineRun) bool { return run.deadly && !run.ended })
}

// step generates one token for each run of the batch.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := e.batch[:0]
	for _, run := range e.batch {
		if run.ended {
			continue
		}
		run.generate()
		if !run.ended {
			left = append(left, run)
			continue
		}
		e.stats.Completed++
		e.cache.store(run.chat, run.prompt+run.tokens, e.Clock.Now())
	}
	e.batch = left
	e.sample()
}

// cancelRun stops a run and removes it from the queue and the batch.
func (e *Engine) cancelRun(run *engineRun) {
	if run.ended {
		return
	}
	run.stop()
	e.stats.Cancelled++
	e.queue = engineWithout(e.queue, run)
	e.batch = engineWithout(e.batch, run)
	e.sample()
}

// engineWithout returns the runs other than removed.
func engineWithout(runs []*engineRun, removed *engineRun) []*engineRun {
	var left []*engineRun
	for _, run := range runs {
		if run != removed {
			left = append(left, run)
		}
	}
	return left
}

// reap cancels and removes the streams that have had no reader for the Grace time.
func (e *Engine) reap() {
	now := e.Clock.Now()
	for id, run := range e.runs {
		if run.readers > 0 || now.Sub(run.idleAt) < e.Grace {
			continue
		}
		e.cancelRun(run)
		delete(e.runs, id)
	}
}
