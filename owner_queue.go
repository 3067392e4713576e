package peridotusher

import (
	"context"
	"time"

	"peridotusher.example/peridotusher/document"
)

// grantTimeout bounds the queueing of a grant's message.
const grantTimeout = 100 * time.Millisecond

// enqueue lets an ask wait for its engine, or refuses it at once when it
// cannot be answered in time.
func (o *Owner) enqueue(doc *document.Document, ask Ask, wait time.Duration, moves bool) Answer {
	now := o.Clock.Now()
	remaining := ask.Request.Deadline.Sub(now)
	if !moves && o.delay(ask.Engine) > min(wait, remaining) {
		return o.tooLate(ask)
	}
	w := o.waiting(doc, ask, now)
	w.Until = now.Add(min(wait, remaining))
	w.Moves = moves
	if dropped := o.Queue.Push(w, doc.Policy().QueueLength()); dropped != nil {
		if dropped == w {
			return o.dropped(doc, w)
		}
		o.send(dropped, o.dropped(doc, dropped))
	}
	o.pump(ask.Engine)
	return Answer{Queued: true, Ticket: ask.Ticket, Wait: w.Until.Sub(now)}
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

func (o *Owner) delay(engine EngineID) time.Duration {
	return o.Queue.Delay(engine, o.Ledger.Work(engine))
}

// longestWait is the time that is left to wait before the deadline.
func (o *Owner) longestWait(ask Ask) time.Duration {
	return ask.Request.Deadline.Sub(o.Clock.Now())
}

// tooLate refuses an ask whose turn would come after its deadline.
func (o *Owner) tooLate(ask Ask) Answer {
	return Answer{Cause: CauseOverloaded, Ticket: ask.Ticket, RetryAfter: o.Queue.RetryAfter(ask.Engine, o.Ledger.Work(ask.Engine)), Loads: o.Ledger.Loads()}
}

// dropped answers an ask that found no place in the queue or whose wait ended.
func (o *Owner) dropped(doc *document.Document, w *Waiting) Answer {
	answer := o.tooLate(w.Ask)
	if !w.Moves {
		return answer
	}
	c, err := o.chance(doc, w.Ask)
	if err != nil {
		return answer
	}
	if next, ok := o.next(doc, w.Ask, c); ok {
		o.place(doc, w.Ask, next)
		answer.Next = next
	}
	return answer
}

// Tick ends the waits that are over and gives permits to those that wait.
func (o *Owner) Tick() {
	now := o.Clock.Now()
	o.Ledger.Sample(now)
	if o.Ownership != nil {
		o.Ledger.SetOwned(o.owns)
	}
	doc := o.Document()
	if doc == nil {
		return
	}
	for _, engine := range o.Queue.Engines() {
		o.pump(engine)
	}
	for _, w := range o.Queue.Ended(now) {
		o.send(w, o.dropped(doc, w))
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
	c, err := o.chance(doc, w.Ask)
	if err != nil {
		return nil, Answer{}, false
	}
	if !c.serves(engine) {
		return o.turnAway(doc, w)
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

// turnAway sends an ask to another engine, because the one that it waits for
// gets no more work.
func (o *Owner) turnAway(doc *document.Document, w *Waiting) (*Waiting, Answer, bool) {
	if !o.Queue.Take(w) {
		return nil, Answer{}, false
	}
	moved := *w
	moved.Moves = true
	return w, o.dropped(doc, &moved), true
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
