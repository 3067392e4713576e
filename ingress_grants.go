package peridotusher

import (
	"context"
	"sync"
	"time"
)

// grantTable holds the asks whose decision may follow later.
type grantTable struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]*pendingAsk
}

// pendingAsk is one ask whose decision may follow.
type pendingAsk struct {
	decision chan Answer
	engine   Engine
	owner    RouterID // where it is queued, empty before
}

// open returns the number of a new ask and the channel of its late decision.
func (t *grantTable) open(engine Engine) (uint64, *pendingAsk) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = map[uint64]*pendingAsk{}
	}
	t.last++
	pending := &pendingAsk{decision: make(chan Answer, 1), engine: engine}
	t.waiting[t.last] = pending
	return t.last, pending
}

// queued records where the ask waits.
func (t *grantTable) queued(pending *pendingAsk, owner RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending.owner = owner
}

// recheck ends the waits at routers that are no longer the engine's owner.
func (t *grantTable) recheck(ownership Ownership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ticket, pending := range t.waiting {
		owner, ok := ownership.OwnerOf(pending.engine.ID(), pending.engine.Zone())
		if pending.owner == "" || (ok && owner == pending.owner) {
			continue
		}
		select {
		case pending.decision <- Answer{Ticket: ticket, Cause: CauseOwnerSilent}:
		default:
		}
	}
}

// close forgets an ask. It returns a decision that nobody has taken.
func (t *grantTable) close(ticket uint64) (Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending, ok := t.waiting[ticket]
	delete(t.waiting, ticket)
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
	pending, ok := t.waiting[answer.Ticket]
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
		in.giveBack(ctx, answer)
	}
}

func (in *Ingress) closeTicket(ctx context.Context, ticket uint64) {
	if answer, left := in.grants.close(ticket); left {
		in.giveBack(context.WithoutCancel(ctx), answer)
	}
}

// giveBack returns a permit that was not used.
func (in *Ingress) giveBack(ctx context.Context, answer Answer) {
	if !answer.Granted {
		return
	}
	in.sendReturn(ctx, answer.Owner, Return{Permit: answer.Permit, Engine: answer.Engine, Ingress: in.Self, Verdict: NotRun})
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
