package peridotusher

import (
	"context"
	"time"

	"peridotusher.example/peridotusher/document"
)

const (
	// grantTimeout bounds the time to queue a message with a decision.
	grantTimeout = 100 * time.Millisecond
	// requeueInterval is the time after which a queued ask is checked for another engine again.
	requeueInterval = 100 * time.Millisecond
)

// enqueue queues an ask for its engine, or refuses it at once if it cannot be
// granted before its deadline. After the given wait the ask may move to another
// engine; it stays queued while none has capacity.
func (o *Owner) enqueue(doc *document.Document, ask Ask, wait time.Duration) Answer {
	now := o.Clock.Now()
	remaining := ask.Request.Deadline.Sub(now)
	if o.expectedDelay(doc, ask) > remaining {
		return o.refuseTooLate(ask)
	}
	w := o.newQueuedAsk(doc, ask, now)
	w.WaitUntil = now.Add(min(wait, remaining))
	if dropped := o.Queue.Push(w, doc.Policy().QueueLength()); dropped != nil {
		if dropped == w {
			return o.refuseTooLate(ask)
		}
		o.sendDecision(dropped, o.refuseTooLate(dropped.Ask))
	}
	o.grantQueued(ask.Engine)
	return Answer{Queued: true, Ticket: ask.Ticket, Engine: ask.Engine, Wait: remaining}
}

func (o *Owner) newQueuedAsk(doc *document.Document, ask Ask, now time.Time) *QueuedAsk {
	w := &QueuedAsk{Ask: ask, QueuedAt: now, Weight: 1}
	if class, ok := doc.Class(ask.Request.Class); ok {
		w.Priority = class.Priority()
	}
	if org, ok := doc.Organisation(ask.Request.Organisation); ok {
		w.Weight = org.Weight()
		w.Value = org.RequestValue()
	}
	return w
}

// expectedDelay returns the minimum time that one more ask is expected to wait: until
// the engine's backoff ends, as long as the queue takes with all slots in use, and until
// the engine's request rate allows the requests of the queue and this one.
// Using the slots avoids too long an estimate in a burst, when the load is low at
// first and rises with each permit granted.
func (o *Owner) expectedDelay(doc *document.Document, ask Ask) time.Duration {
	running := o.Ledger.Work(ask.Engine)
	if model, ok := doc.Model(ask.Request.Model); ok && running > 0 {
		running = max(running, model.Slots())
	}
	suspended := o.Ledger.SuspendedFor(o.Clock.Now(), ask.Engine)
	return max(suspended, o.Queue.Delay(ask.Engine, running), o.rateDelay(ask.Engine))
}

// rateDelay returns the time until the engine's request rate allows one more request than those
// in its queue.
func (o *Owner) rateDelay(engine EngineID) time.Duration {
	limits := LoadLimits{RequestRate: o.requestRate}
	return o.Ledger.RateDelay(o.Clock.Now(), engine, o.Queue.Len(engine)+1, limits)
}

// refuseTooLate returns the refusal of an ask that would be granted after its deadline.
func (o *Owner) refuseTooLate(ask Ask) Answer {
	after := max(o.Queue.RetryAfter(ask.Engine, o.Ledger.Work(ask.Engine)), o.rateDelay(ask.Engine))
	return Answer{Cause: CauseOverloaded, Ticket: ask.Ticket, RetryAfter: after, Loads: o.Ledger.MinLoads()}
}

// endWait handles an ask whose wait has ended: it redirects the ask to another engine,
// queues it again, or refuses it at its deadline.
func (o *Owner) endWait(doc *document.Document, w *QueuedAsk) {
	now := o.Clock.Now()
	c, err := o.askCandidates(doc, w.Ask)
	if err != nil || !now.Before(w.Ask.Request.Deadline) {
		o.sendDecision(w, o.refuseTooLate(w.Ask))
		return
	}
	if next, ok := o.nextWithCapacity(doc, w.Ask, c); ok {
		o.recordPlacement(doc, w.Ask, next)
		answer := o.refuseTooLate(w.Ask)
		answer.Next = next
		o.sendDecision(w, answer)
		return
	}
	if !o.canWaitFor(w.Ask.Engine, c) {
		o.sendDecision(w, o.refuseTooLate(w.Ask))
		return
	}
	w.WaitUntil = now.Add(requeueInterval)
	o.Queue.Restore(w)
}

// canWaitFor reports whether asks for the engine may stay in this router's queue.
func (o *Owner) canWaitFor(engine EngineID, c askCandidates) bool {
	return c.serves(engine) && (o.Ownership == nil || o.owns(engine))
}

// Tick does the periodic work: it samples the load of other owners, updates which
// engines this router owns, grants permits to queued asks and handles the asks whose
// wait has ended.
func (o *Owner) Tick() {
	now := o.Clock.Now()
	o.Ledger.Sample(now)
	if o.Ownership != nil {
		o.Ledger.SetOwned(now, o.owns)
	}
	doc := o.Document()
	if doc == nil {
		return
	}
	for _, engine := range o.Queue.Engines() {
		o.grantQueued(engine)
	}
	for _, w := range o.Queue.TakeExpired(now) {
		o.endWait(doc, w)
	}
}

// owns reports whether this router considers itself the engine's owner.
func (o *Owner) owns(id EngineID) bool {
	e, ok := o.Placer.Engines.Get(id)
	if !ok {
		return false
	}
	owner, ok := o.Ownership.OwnerOf(id, e.Zone())
	return ok && owner == o.Self
}

// grantQueued grants permits to the asks queued for the engine while it has capacity.
func (o *Owner) grantQueued(engine EngineID) {
	doc := o.Document()
	if doc == nil {
		return
	}
	for {
		w, answer, ok := o.grantNextQueued(doc, engine)
		if !ok {
			return
		}
		o.sendDecision(w, answer)
	}
}

// grantNextQueued grants a permit to the first ask in the queue's order.
func (o *Owner) grantNextQueued(doc *document.Document, engine EngineID) (*QueuedAsk, Answer, bool) {
	o.dispatchMu.Lock()
	defer o.dispatchMu.Unlock()
	w, ok := o.Queue.First(o.Clock.Now(), engine)
	if !ok {
		return nil, Answer{}, false
	}
	c, err := o.askCandidates(doc, w.Ask)
	if err != nil || !o.canWaitFor(engine, c) {
		o.Queue.ExpireNow(w, o.Clock.Now())
		return nil, Answer{}, false
	}
	answer, ok := o.admit(doc, w.Ask, c)
	if !ok {
		return nil, Answer{}, false
	}
	if !o.Queue.Remove(w) {
		o.Ledger.Release(o.Clock.Now(), engine, answer.Permit)
		return nil, Answer{}, false
	}
	return w, answer, true
}

// sendDecision sends a deferred decision to the ingress. If a grant cannot be sent, its
// permit is released.
func (o *Owner) sendDecision(w *QueuedAsk, answer Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	answer.Owner = o.Self
	err := o.Peers.Grant(ctx, w.Ask.Ingress, answer)
	if err != nil && answer.Granted {
		o.Ledger.Release(o.Clock.Now(), answer.Engine, answer.Permit)
	}
}
