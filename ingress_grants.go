package peridotusher

import (
	"context"
	"sync"
	"time"
)

// grantTable holds the asks whose decision may arrive later, by ticket.
type grantTable struct {
	mu         sync.Mutex
	lastTicket uint64
	pending    map[uint64]*pendingAsk
}

// pendingAsk is one ask whose decision may arrive later.
type pendingAsk struct {
	decision chan Answer
	engine   Engine
	owner    RouterID // the router whose queue it is in, empty if not queued
}

// add returns the number of a new ask and the pending ask with the channel for its decision.
func (t *grantTable) add(engine Engine) (uint64, *pendingAsk) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == nil {
		t.pending = map[uint64]*pendingAsk{}
	}
	t.lastTicket++
	pending := &pendingAsk{decision: make(chan Answer, 1), engine: engine}
	t.pending[t.lastTicket] = pending
	return t.lastTicket, pending
}

// setOwner records the router in whose queue the ask is.
func (t *grantTable) setOwner(pending *pendingAsk, owner RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending.owner = owner
}

// cancelAtFormerOwners ends the wait of asks queued at routers that no longer own the
// engine.
func (t *grantTable) cancelAtFormerOwners(ownership Ownership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ticket, pending := range t.pending {
		owner, ok := ownership.OwnerOf(pending.engine.ID(), pending.engine.Zone())
		if pending.owner == "" || (ok && owner == pending.owner) {
			continue
		}
		select {
		case pending.decision <- Answer{Ticket: ticket, Cause: CauseOwnerUnreachable}:
		default:
		}
	}
}

// remove removes an ask and returns its decision if that was not received yet.
func (t *grantTable) remove(ticket uint64) (Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending, ok := t.pending[ticket]
	delete(t.pending, ticket)
	if !ok {
		return Answer{}, false
	}
	select {
	case answer := <-pending.decision:
		return answer, true
	default:
		return Answer{}, false
	}
}

// deliver passes a deferred decision to its ask, and reports whether there is one that
// takes it.
func (t *grantTable) deliver(answer Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending, ok := t.pending[answer.Ticket]
	if !ok {
		return false
	}
	select {
	case pending.decision <- answer:
		return true
	default:
		return false
	}
}

// ReceiveDecision receives the deferred decision of an owner. A permit for an ask that no
// longer waits is released.
func (in *Ingress) ReceiveDecision(ctx context.Context, answer Answer) {
	in.Local.Ledger.SetRemote(in.Clock.Now(), answer.Loads)
	if !in.grants.deliver(answer) {
		in.releaseUnused(ctx, answer)
	}
}

func (in *Ingress) closeAsk(ctx context.Context, ticket uint64) {
	if answer, undelivered := in.grants.remove(ticket); undelivered {
		in.releaseUnused(context.WithoutCancel(ctx), answer)
	}
}

// releaseUnused releases a granted permit that was not used.
func (in *Ingress) releaseUnused(ctx context.Context, answer Answer) {
	if !answer.Granted {
		return
	}
	in.sendRelease(ctx, answer.Owner, Release{Permit: answer.Permit, Engine: answer.Engine, Ingress: in.Self, Verdict: NotRun})
}

// waitGrant waits for a deferred decision until the limit.
func waitGrant(ctx context.Context, grant <-chan Answer, limit time.Duration) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case answer := <-grant:
		return answer, nil
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}
