package peridotusher

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"peridotusher.example/peridotusher/document"
)

// overloadRetryAfter is the delay told to a caller when every engine is full.
const overloadRetryAfter = time.Second

// Owner gives permits for the engines that this router owns.
type Owner struct {
	Self     RouterID
	Placer   *Placer
	Ledger   *Ledger
	Document func() *document.Document
	Clock    Clock

	issued atomic.Uint64
}

// Ask decides on a permit. A refusal names the next candidate that has room.
func (o *Owner) Ask(_ context.Context, ask Ask) Answer {
	doc := o.Document()
	if doc == nil {
		return Answer{Cause: CauseNoEndpoint, RetryAfter: overloadRetryAfter}
	}
	ranking, err := o.Placer.Ranking(doc, ask.Request)
	if err != nil {
		return Answer{Cause: CauseNoEndpoint, RetryAfter: overloadRetryAfter}
	}
	room := o.room(doc, ask.Request, ranking)
	now := o.Clock.Now()
	id := PermitID(fmt.Sprintf("%s-%d", o.Self, o.issued.Add(1)))
	expires := now.Add(doc.Policy().PermitExpiry())
	if inRanking(ranking, ask.Engine) && o.Ledger.Admit(now, id, ask, expires, room) {
		return Answer{Granted: true, Permit: id, Engine: ask.Engine, Loads: o.Ledger.Loads()}
	}
	return o.refuse(ask, ranking, room)
}

// Return ends a permit.
func (o *Owner) Return(r Return) {
	o.Ledger.Return(r.Engine, r.Permit)
}

// Report takes over the permits that an ingress holds of a former owner.
func (o *Owner) Report(_ RouterID, held []HeldPermit) {
	doc := o.Document()
	if doc == nil {
		return
	}
	expires := o.Clock.Now().Add(doc.Policy().PermitExpiry())
	for _, h := range held {
		o.Ledger.Adopt(h, expires)
	}
}

func (o *Owner) refuse(ask Ask, ranking []Engine, room Room) Answer {
	answer := Answer{Cause: CauseOverloaded, RetryAfter: overloadRetryAfter, Loads: o.Ledger.Loads()}
	for _, e := range ranking {
		if e.ID() != ask.Engine && o.Ledger.Fits(e.ID(), ask.Request.Work, room) {
			answer.Next = e.ID()
			return answer
		}
	}
	return answer
}

func (o *Owner) room(doc *document.Document, req Request, ranking []Engine) Room {
	if !o.Placer.Bounded(doc) {
		return Room{Unbounded: true}
	}
	room := Room{Bound: doc.Policy().Bound()}
	if model, ok := doc.Model(req.Model); ok {
		room.Slots = model.Slots()
	}
	for _, e := range ranking {
		room.Engines = append(room.Engines, e.ID())
	}
	return room
}

func inRanking(ranking []Engine, id EngineID) bool {
	for _, e := range ranking {
		if e.ID() == id {
			return true
		}
	}
	return false
}
