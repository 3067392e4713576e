package admission

import (
	"slices"
	"time"

	"peridotusher.example/peridotusher"
)

// fifoQueue is a simple queue that grants free slots in order of arrival. It refuses requests when
// less than serviceTime is left of their latency target.
type fifoQueue struct {
	clock   peridotusher.Clock
	places  []AvailableReplica
	held    map[requestKey]uint32
	waiting []waitingRequest
}

const serviceTime = 50 * time.Millisecond

type waitingRequest struct {
	Request
	until time.Time
}

func newFIFOQueue(clock peridotusher.Clock) *fifoQueue {
	return &fifoQueue{clock: clock, held: make(map[requestKey]uint32)}
}

func (q *fifoQueue) SetReplicas(places []AvailableReplica) { q.places = places }

func (q *fifoQueue) Submit(r Request) Reply {
	if replica, ok := q.takeSlot(r); ok {
		return Reply{ID: r.ID, Incarnation: r.Incarnation, State: Granted, Replica: replica}
	}
	q.waiting = append(q.waiting, waitingRequest{r, q.clock.Now().Add(r.LatencyTarget - serviceTime)})
	return Reply{ID: r.ID, Incarnation: r.Incarnation, State: Waiting}
}

func (q *fifoQueue) takeSlot(r Request) (uint32, bool) {
	for _, p := range q.places {
		n := 0
		for _, replica := range q.held {
			if replica == p.Hash {
				n++
			}
		}
		if n < p.Slots && !slices.Contains(r.Exclude, p.Hash) {
			q.held[requestKey{r.Router, r.Incarnation, r.ID}] = p.Hash
			return p.Hash, true
		}
	}
	return 0, false
}

func (q *fifoQueue) Release(router string, incarnation int64, id uint64, _ Usage) {
	q.Cancel(router, incarnation, id)
}

func (q *fifoQueue) Cancel(router string, incarnation int64, id uint64) {
	delete(q.held, requestKey{router, incarnation, id})
	q.waiting = slices.DeleteFunc(q.waiting, func(w waitingRequest) bool {
		return w.Router == router && w.Incarnation == incarnation && w.ID == id
	})
}

func (q *fifoQueue) TakeDecisions() (decisions []Decision, wait time.Duration) {
	now := q.clock.Now()
	var rest []waitingRequest
	for _, w := range q.waiting {
		reply := Reply{ID: w.ID, Incarnation: w.Incarnation}
		replica, ok := q.takeSlot(w.Request)
		switch {
		case ok:
			reply.State, reply.Replica = Granted, replica
		case !now.Before(w.until):
			reply.RetryAfter = time.Second
		default:
			rest = append(rest, w)
			if left := w.until.Sub(now); wait == 0 || left < wait {
				wait = left
			}
			continue
		}
		decisions = append(decisions, Decision{Router: w.Router, Reply: reply})
	}
	q.waiting = rest
	return decisions, wait
}

func (q *fifoQueue) Stop() []Decision {
	var out []Decision
	for _, w := range q.waiting {
		out = append(out, Decision{Router: w.Router, Reply: Reply{ID: w.ID, Incarnation: w.Incarnation}})
	}
	q.waiting = nil
	return out
}
