package peridotusher

import (
	"context"
	"time"

	"peridotusher.example/peridotusher/document"
)

const (
	// grantTimeout bounds the queueing of a grant's message.
	grantTimeout = 100 * time.Millisecond
	// queueSlice is the time after which a waiting ask looks for another engine again.
	queueSlice = 100 * time.Millisecond
)

// enqueue lets an ask wait for its engine, or refuses it at once when it
// cannot be answered in time. After the first wait it may move to another
// engine, and it goes on waiting while there is none with room.
func (o *Owner) enqueue(doc *document.Document, ask Ask, wait time.Duration) Answer {
	now := o.Clock.Now()
	remaining := ask.Request.Deadline.Sub(now)
	if o.delay(doc, ask) > remaining {
		return o.tooLate(ask)
	}
	w := o.waiting(doc, ask, now)
	w.Until = now.Add(min(wait, remaining))
	if dropped := o.Queue.Push(w, doc.Policy().QueueLength()); dropped != nil {
		if dropped == w {
			return o.tooLate(ask)
		}
		o.send(dropped, o.tooLate(dropped.Ask))
	}
	o.pump(ask.Engine)
	return Answer{Queued: true, Ticket: ask.Ticket, Engine: ask.Engine, Wait: remaining}
}

func (o *Owner) waiting(doc *document.Document, ask Ask, now time.Time) *Waiting {
	w := &Waiting{Ask: ask, Queued: now, Weight: 1}
	if class, ok := doc.Class(ask.Request.Class); ok {
		w.Priority = class.Priority()
	}
	if org, ok := doc.Organisation(ask.Request.Organisation); ok {
		w.Weight = org.Weight()
		w.Worth = org.Worth()
	}
	return w
}

// delay returns how long one more ask is expected to wait at the least: until
// the engine gets work again, and as if it ran all its slots. In a burst the load
// is low at first and rises as permits are given.
func (o *Owner) delay(doc *document.Document, ask Ask) time.Duration {
	running := o.Ledger.Work(ask.Engine)
	if model, ok := doc.Model(ask.Request.Model); ok && running > 0 {
		running = max(running, model.Slots())
	}
	held := o.Ledger.Held(o.Clock.Now(), ask.Engine)
	return max(held, o.Queue.Delay(ask.Engine, running))
}

// tooLate refuses an ask whose turn would come after its deadline.
func (o *Owner) tooLate(ask Ask) Answer {
	return Answer{Cause: CauseOverloaded, Ticket: ask.Ticket, RetryAfter: o.Queue.RetryAfter(ask.Engine, o.Ledger.Work(ask.Engine)), Loads: o.Ledger.News()}
}

// endWait moves an ask whose wait ended to another engine, lets it wait on, or
// refuses it at its deadline.
func (o *Owner) endWait(doc *document.Document, w *Waiting) {
	now := o.Clock.Now()
	c, err := o.candidateRoom(doc, w.Ask)
	if err != nil || !now.Before(w.Ask.Request.Deadline) {
		o.send(w, o.tooLate(w.Ask))
		return
	}
	if next, ok := o.next(doc, w.Ask, c); ok {
		o.place(doc, w.Ask, next)
		answer := o.tooLate(w.Ask)
		answer.Next = next
		o.send(w, answer)
		return
	}
	if !o.keeps(w.Ask.Engine, c) {
		o.send(w, o.tooLate(w.Ask))
		return
	}
	w.Until = now.Add(queueSlice)
	o.Queue.Restore(w)
}

// keeps reports whether asks may still wait here for the engine.
func (o *Owner) keeps(engine EngineID, c candidateRoom) bool {
	return c.serves(engine) && (o.Ownership == nil || o.owns(engine))
}

// Tick ends the waits that are over and gives permits to those that wait.
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
		o.pump(engine)
	}
	for _, w := range o.Queue.Ended(now) {
		o.endWait(doc, w)
	}
}

// owns reports whether this router is the engine's owner by its own view.
func (o *Owner) owns(id EngineID) bool {
	e, ok := o.Placer.Engines.Get(id)
	if !ok {
		return false
	}
	owner, ok := o.Ownership.OwnerOf(id, e.Zone())
	return ok && owner == o.Self
}

// pump gives permits to the asks that wait for the engine while there is room.
func (o *Owner) pump(engine EngineID) {
	doc := o.Document()
	if doc == nil {
		return
	}
	for {
		w, answer, ok := o.pumpOne(doc, engine)
		if !ok {
			return
		}
		o.send(w, answer)
	}
}

// pumpOne gives a permit to the ask that goes next.
func (o *Owner) pumpOne(doc *document.Document, engine EngineID) (*Waiting, Answer, bool) {
	o.pumpMu.Lock()
	defer o.pumpMu.Unlock()
	w, ok := o.Queue.First(o.Clock.Now(), engine)
	if !ok {
		return nil, Answer{}, false
	}
	c, err := o.candidateRoom(doc, w.Ask)
	if err != nil || !o.keeps(engine, c) {
		o.Queue.EndNow(w, o.Clock.Now())
		return nil, Answer{}, false
	}
	answer, ok := o.admit(doc, w.Ask, c)
	if !ok {
		return nil, Answer{}, false
	}
	if !o.Queue.Take(w) {
		o.Ledger.Return(o.Clock.Now(), engine, answer.Permit)
		return nil, Answer{}, false
	}
	return w, answer, true
}

// send tells the ingress of a late decision. A grant that cannot be sent ends.
func (o *Owner) send(w *Waiting, answer Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	answer.Owner = o.Self
	err := o.Peers.Grant(ctx, w.Ask.Ingress, answer)
	if err != nil && answer.Granted {
		o.Ledger.Return(o.Clock.Now(), answer.Engine, answer.Permit)
	}
}
