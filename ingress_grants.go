package peridotusher

import (
	"context"
	"sync"
	"time"
)

// grantTable holds the asks whose decision may follow later.
type grantTable struct {
	mu         sync.Mutex
	lastTicket uint64
	pending    map[uint64]*pendingAsk
}

// pendingAsk is one ask whose decision may follow.
type pendingAsk struct {
	decision chan Answer
	engine   Engine
	owner    RouterID // where it is queued, empty before
}

// add returns the number of a new ask and the channel of its late decision.
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

// setOwner records where the ask waits.
func (t *grantTable) setOwner(pending *pendingAsk, owner RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending.owner = owner
}

// cancelAtFormerOwners ends the waits at routers that are no longer the engine's owner.
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

// remove forgets an ask. It returns a decision that nobody has taken.
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

// deliver hands a late decision to its ask, and reports false if there is none.
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

// Granted takes a late decision of an owner. A permit that nobody waits for
// any more is returned.
func (in *Ingress) Granted(ctx context.Context, answer Answer) {
	in.Local.Ledger.SetRemote(in.Clock.Now(), answer.Loads)
	if !in.grants.deliver(answer) {
		in.releaseUnused(ctx, answer)
	}
}

func (in *Ingress) closeAsk(ctx context.Context, ticket uint64) {
	if answer, left := in.grants.remove(ticket); left {
		in.releaseUnused(context.WithoutCancel(ctx), answer)
	}
}

// releaseUnused returns a permit that was not used.
func (in *Ingress) releaseUnused(ctx context.Context, answer Answer) {
	if !answer.Granted {
		return
	}
	in.sendRelease(ctx, answer.Owner, Return{Permit: answer.Permit, Engine: answer.Engine, Ingress: in.Self, Verdict: NotRun})
}

// waitGrant waits for a late decision.
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
