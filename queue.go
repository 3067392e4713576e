package peridotusher

import (
	"cmp"
	"math"
	"sync"
	"time"
)

const (
	// agingInterval is the waiting time that raises a queued ask by one class priority.
	agingInterval = 2 * time.Second
	// minRetryAfter is the shortest retry delay sent to a caller whose request was refused.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest such delay.
	maxRetryAfter = 30 * time.Second
	// permitTimeWeight is the weight of the latest sample in the moving average of the time
	// that an engine's permits are held.
	permitTimeWeight = 0.1
)

// QueuedAsk is an ask that waits for capacity on one engine.
type QueuedAsk struct {
	Ask       Ask
	Priority  int     // of its class; lower values go first
	Weight    float64 // weight of its organisation in the fair queue
	Value     float64 // value of a request of its organisation
	QueuedAt  time.Time
	WaitUntil time.Time // when another engine is looked for

	finishTag float64 // virtual finish time of its organisation
}

// Queue holds the asks that wait for capacity on the engines of one owner. The
// order is by class priority with aging, then weighted fair queueing between
// organisations.
type Queue struct {
	mu      sync.Mutex
	engines map[EngineID]*engineQueue
}

// engineQueue is the queue of one engine.
type engineQueue struct {
	waiting        []*QueuedAsk
	virtual        float64            // virtual time of the fair queue
	lastTag        map[string]float64 // finish tag of the last ask by organisation
	meanPermitTime time.Duration      // moving average of the time that a permit is held
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{engines: map[EngineID]*engineQueue{}} }

// Push adds an ask to an engine's queue. If the queue is then longer than the
// limit, the last ask in its order is removed and returned.
func (q *Queue) Push(w *QueuedAsk, limit int) *QueuedAsk {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.engine(w.Ask.Engine)
	org := w.Ask.Request.Organisation
	w.finishTag = max(e.virtual, e.lastTag[org]) + float64(w.Ask.Request.Work)/max(w.Weight, math.SmallestNonzeroFloat32)
	e.lastTag[org] = w.finishTag
	e.waiting = append(e.waiting, w)
	if len(e.waiting) <= limit {
		return nil
	}
	return e.removeAt(e.pick(w.QueuedAt, func(a, b int) bool { return a > b }))
}

// Restore adds an ask again that TakeExpired removed. The ask keeps its position in
// the order.
func (q *Queue) Restore(w *QueuedAsk) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.engine(w.Ask.Engine)
	e.waiting = append(e.waiting, w)
}

// First returns the first ask in the order of the engine's queue without removing it.
func (q *Queue) First(now time.Time, engine EngineID) (*QueuedAsk, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.engines[engine]
	if !ok || len(e.waiting) == 0 {
		return nil, false
	}
	return e.waiting[e.pick(now, func(a, b int) bool { return a < b })], true
}

// ExpireNow ends the wait of an ask, so that the next TakeExpired removes it.
func (q *Queue) ExpireNow(w *QueuedAsk, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.WaitUntil = now
}

// Remove removes an ask and reports whether it was in the queue.
func (q *Queue) Remove(w *QueuedAsk) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.engines[w.Ask.Engine]
	if !ok {
		return false
	}
	for i, other := range e.waiting {
		if other == w {
			e.removeAt(i)
			e.virtual = max(e.virtual, w.finishTag)
			return true
		}
	}
	return false
}

// TakeExpired removes and returns the asks whose wait has ended.
func (q *Queue) TakeExpired(now time.Time) []*QueuedAsk {
	q.mu.Lock()
	defer q.mu.Unlock()
	var ended []*QueuedAsk
	for _, e := range q.engines {
		for i := 0; i < len(e.waiting); {
			if now.Before(e.waiting[i].WaitUntil) {
				i++
				continue
			}
			ended = append(ended, e.removeAt(i))
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

// RecordPermitTime records how long a permit for the engine was held.
func (q *Queue) RecordPermitTime(engine EngineID, held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.engine(engine)
	if e.meanPermitTime == 0 {
		e.meanPermitTime = held
	}
	e.meanPermitTime += time.Duration(permitTimeWeight * float64(held-e.meanPermitTime))
}

// Delay returns the expected wait of one more ask for an engine with the given load.
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
	return time.Duration(work) * e.meanPermitTime / time.Duration(max(load, 1))
}

// RetryAfter returns the retry delay for a refused caller. It grows with the queue.
func (q *Queue) RetryAfter(engine EngineID, load int) time.Duration {
	return min(max(q.Delay(engine, load), minRetryAfter), maxRetryAfter)
}

func (q *Queue) engine(id EngineID) *engineQueue {
	e, ok := q.engines[id]
	if !ok {
		e = &engineQueue{lastTag: map[string]float64{}}
		q.engines[id] = e
	}
	return e
}

// pick returns the index of the ask that chosen prefers to all others, where order is
// the result of compare.
func (e *engineQueue) pick(now time.Time, chosen func(order, zero int) bool) int {
	best := 0
	for i := range e.waiting {
		if chosen(e.waiting[i].compare(e.waiting[best], now), 0) {
			best = i
		}
	}
	return best
}

func (e *engineQueue) removeAt(i int) *QueuedAsk {
	w := e.waiting[i]
	e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
	return w
}

// compare orders two asks: by class priority with aging, then the organisations'
// fair shares, then the earlier deadline, then the higher value.
func (w *QueuedAsk) compare(other *QueuedAsk, now time.Time) int {
	return cmp.Or(
		cmp.Compare(w.effectivePriority(now), other.effectivePriority(now)),
		cmp.Compare(w.finishTag, other.finishTag),
		w.Ask.Request.Deadline.Compare(other.Ask.Request.Deadline),
		cmp.Compare(other.Value, w.Value),
	)
}

// effectivePriority returns the class priority, lowered by one for each agingInterval of
// waiting.
func (w *QueuedAsk) effectivePriority(now time.Time) int {
	return w.Priority - int(now.Sub(w.QueuedAt)/agingInterval)
}
