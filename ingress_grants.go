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
	waiting map[uint64]chan Answer
}

// open returns the number of a new ask and the channel of its late decision.
func (t *grantTable) open() (uint64, <-chan Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = map[uint64]chan Answer{}
	}
	t.last++
	decision := make(chan Answer, 1)
	t.waiting[t.last] = decision
	return t.last, decision
}

// close forgets an ask. It returns a decision that nobody has taken.
func (t *grantTable) close(ticket uint64) (Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decision := t.waiting[ticket]
	delete(t.waiting, ticket)
	select {
	case answer := <-decision:
		return answer, true
	default:
		return Answer{}, false
	}
}

// deliver hands a late decision to its ask, and reports false if there is none.
func (t *grantTable) deliver(answer Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	decision, ok := t.waiting[answer.Ticket]
	if !ok {
		return false
	}
	select {
	case decision <- answer:
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
