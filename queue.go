package peridotusher

import (
	"cmp"
	"math"
	"sync"
	"time"
)

const (
	// agingStep is the wait that raises a queued ask by one class priority.
	agingStep = 2 * time.Second
	// minRetryAfter is the shortest delay told to a caller that was refused.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest one.
	maxRetryAfter = 30 * time.Second
	// heldWeight is the weight of the newest return in an engine's mean time of a permit.
	heldWeight = 0.1
)

// Waiting is an ask that waits for room on one engine.
type Waiting struct {
	Ask      Ask
	Priority int     // of its class, the lowest goes first
	Weight   float64 // share of its organisation
	Worth    float64 // of its organisation's requests
	Queued   time.Time
	Until    time.Time // when it looks for another engine

	tag float64 // virtual finish time of its organisation
}

// Queue holds the asks that wait for room on the engines of one owner.
type Queue struct {
	mu      sync.Mutex
	engines map[EngineID]*engineQueue
}

// engineQueue is the queue of one engine.
type engineQueue struct {
	waiting []*Waiting
	virtual float64            // virtual time of the fair queue
	last    map[string]float64 // last tag by organisation
	held    time.Duration      // mean time that a permit is out
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{engines: map[EngineID]*engineQueue{}} }

// Push adds an ask to an engine's queue. When the queue is longer than the
// limit, the one that goes last is taken out and returned.
func (q *Queue) Push(w *Waiting, limit int) *Waiting {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.engine(w.Ask.Engine)
	org := w.Ask.Request.Organisation
	w.tag = max(e.virtual, e.last[org]) + float64(w.Ask.Request.Work)/max(w.Weight, math.SmallestNonzeroFloat32)
	e.last[org] = w.tag
	e.waiting = append(e.waiting, w)
	if len(e.waiting) <= limit {
		return nil
	}
	return e.take(e.pick(w.Queued, func(a, b int) bool { return a > b }))
}

// Restore puts an ask back that Ended took out. It keeps its place.
func (q *Queue) Restore(w *Waiting) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.engine(w.Ask.Engine)
	e.waiting = append(e.waiting, w)
}

// First returns the ask that goes next on the engine, without taking it.
func (q *Queue) First(now time.Time, engine EngineID) (*Waiting, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.engines[engine]
	if !ok || len(e.waiting) == 0 {
		return nil, false
	}
	return e.waiting[e.pick(now, func(a, b int) bool { return a < b })], true
}

// EndNow ends the wait of an ask at the next look.
func (q *Queue) EndNow(w *Waiting, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.Until = now
}

// Take takes an ask out, and reports false when it is no longer there.
func (q *Queue) Take(w *Waiting) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.engines[w.Ask.Engine]
	if !ok {
		return false
	}
	for i, other := range e.waiting {
		if other == w {
			e.take(i)
			e.virtual = max(e.virtual, w.tag)
			return true
		}
	}
	return false
}

// Ended takes out and returns the asks whose wait has ended.
func (q *Queue) Ended(now time.Time) []*Waiting {
	q.mu.Lock()
	defer q.mu.Unlock()
	var ended []*Waiting
	for _, e := range q.engines {
		for i := 0; i < len(e.waiting); {
			if now.Before(e.waiting[i].Until) {
				i++
				continue
			}
			ended = append(ended, e.take(i))
		}
	}
	return ended
}

// Engines returns the engines that asks wait for.
func (q *Queue) Engines() []EngineID {
	q.mu.Lock()
	defer q.mu.Unlock()
	var ids []EngineID
	for id, e := range q.engines {
		if len(e.waiting) > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Len returns the number of asks that wait for the engine.
func (q *Queue) Len(engine EngineID) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e, ok := q.engines[engine]; ok {
		return len(e.waiting)
	}
	return 0
}

// Returned records how long a permit for the engine was out.
func (q *Queue) Returned(engine EngineID, held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.engine(engine)
	if e.held == 0 {
		e.held = held
	}
	e.held += time.Duration(heldWeight * float64(held-e.held))
}

// Delay returns the expected wait of one more ask for an engine with the load.
func (q *Queue) Delay(engine EngineID, load int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.engines[engine]
	if !ok {
		return 0
	}
	work := min(load, 1)
	for _, w := range e.waiting {
		work += w.Ask.Request.Work
	}
	return time.Duration(work) * e.held / time.Duration(max(load, 1))
}

// RetryAfter returns when a refused caller may come back: it grows with the queue.
func (q *Queue) RetryAfter(engine EngineID, load int) time.Duration {
	return min(max(q.Delay(engine, load), minRetryAfter), maxRetryAfter)
}

func (q *Queue) engine(id EngineID) *engineQueue {
	e, ok := q.engines[id]
	if !ok {
		e = &engineQueue{last: map[string]float64{}}
		q.engines[id] = e
	}
	return e
}

// pick returns the index of the ask that is chosen over all others.
func (e *engineQueue) pick(now time.Time, chosen func(order, zero int) bool) int {
	best := 0
	for i := range e.waiting {
		if chosen(e.waiting[i].compare(e.waiting[best], now), 0) {
			best = i
		}
	}
	return best
}

func (e *engineQueue) take(i int) *Waiting {
	w := e.waiting[i]
	e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
	return w
}

// compare orders two asks: class priority with aging, then the organisations'
// fair shares, then the deadline, then the worth.
func (w *Waiting) compare(other *Waiting, now time.Time) int {
	return cmp.Or(
		cmp.Compare(w.level(now), other.level(now)),
		cmp.Compare(w.tag, other.tag),
		w.Ask.Request.Deadline.Compare(other.Ask.Request.Deadline),
		cmp.Compare(other.Worth, w.Worth),
	)
}

// level returns the class priority, lowered by one for each step of waiting.
func (w *Waiting) level(now time.Time) int {
	return w.Priority - int(now.Sub(w.Queued)/agingStep)
}
