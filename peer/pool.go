package peer

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
)

// jobsPerWorker is the number of jobs, for each worker, that may be queued in a
// pool.
const jobsPerWorker = 16

// errBusy is the reply to a message whose pool is full.
var errBusy = errors.New("router is busy")

// pool runs jobs on a fixed number of workers.
type pool struct {
	jobs chan func(context.Context)
}

func newPool(workers int) *pool {
	return &pool{jobs: make(chan func(context.Context), workers*jobsPerWorker)}
}

// run runs jobs until ctx ends.
func (p *pool) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case job := <-p.jobs:
			job(ctx)
		}
	}
}

// offer queues a job and reports whether there was a free slot.
func (p *pool) offer(job func(context.Context)) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// receive handles a message of another router. Messages that decide on liveness
// are handled at once; others go to a pool, so that reading the stream continues.
func (n *Node) receive(s *session, e *Envelope) {
	switch Kind(e.GetKind()) {
	case KindHeartbeat:
		n.receiveHeartbeat(s, e)
	case KindLeaving:
		n.receiveLeaving(s, e)
	case KindDigest:
		n.receiveDigest(s, e)
	case KindIdle:
		s.drain(errIdle)
	case KindDrained:
		s.receiveDrained()
	default:
		s.markUsed()
		n.forward(s, e)
		job := func(ctx context.Context) { n.handle(ctx, s, e) }
		if !n.poolFor(Kind(e.GetKind())).offer(job) {
			n.reply(s, e, nil, errBusy)
		}
	}
}

// poolFor returns the pool for a kind. Requests for permits have their own, so that
// one that waits for capacity does not delay the release that frees it.
func (n *Node) poolFor(kind Kind) *pool {
	if kind == KindAsk {
		return n.askPool
	}
	return n.pool
}

// handle runs the handler of a message's kind and sends its reply.
func (n *Node) handle(ctx context.Context, s *session, e *Envelope) {
	h, ok := n.handlers[Kind(e.GetKind())]
	if !ok {
		n.reply(s, e, nil, fmt.Errorf("unknown kind %d", e.GetKind()))
		return
	}
	if e.GetBudget() > 0 {
		budget := microseconds(int64(e.GetBudget()))
		timed, cancel := context.WithTimeout(ctx, budget)
		defer cancel()
		ctx = timed
	}
	body, err := h(ctx, originOf(s, e), e.GetBody())
	n.reply(s, e, body, err)
}

// reply sends the reply to a message, if its sender waits for one.
func (n *Node) reply(s *session, e *Envelope, body []byte, err error) {
	if e.GetId() == 0 {
		return
	}
	answer := &Envelope{Id: e.GetId(), Kind: e.GetKind(), Reply: true, Body: body}
	if err != nil {
		answer.Error = err.Error()
	}
	if len(body) > maxBodyBytes {
		answer.Body, answer.Error = nil, errBodyTooLarge.Error()
	}
	if err := s.offer(answer); err != nil {
		n.Log.WithError(err).WithField("peer", s.peer.ID()).Warn("reply dropped")
	}
}
