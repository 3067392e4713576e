package peridotusher

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotusher.example/peridotusher/document"
)

const (
	// overloadRetryAfter is the retry delay sent to a caller when every engine is full.
	overloadRetryAfter = time.Second
	// refusalBackoff is how long an engine that refused a request gets no new work.
	refusalBackoff = time.Second
	// maxNextChoices is the number of engines with capacity among which the least loaded
	// is chosen for an ask that its own engine cannot take.
	maxNextChoices = 4
	// unreportedPermitGrace is the age from which a permit is assumed to have ended if its
	// ingress does not report it.
	unreportedPermitGrace = 5 * time.Second
)

// OwnerPeers sends an owner's messages to other routers.
type OwnerPeers interface {
	Ask(ctx context.Context, to RouterID, ask Ask) (Answer, error)
	Grant(ctx context.Context, to RouterID, a Answer) error
}

// Owner grants permits for the engines that this router owns, counts them and keeps
// each engine's load within the bound.
type Owner struct {
	Self       RouterID
	Placer     *Placer
	Ledger     *Ledger
	Queue      *Queue
	Placements *Placements
	Ownership  Ownership  // if nil, this router owns every engine
	Peers      OwnerPeers // if nil, no ask is forwarded
	Document   func() *document.Document
	Clock      Clock

	issued       atomic.Uint64
	permitPrefix string
	prefixOnce   sync.Once
	decisions    decisionCounts
	dispatchMu   sync.Mutex // held while a queued ask gets a permit
}

// Ask decides on a permit. A refusal names the next candidate that has capacity.
// An ask that is queued is answered so at once; its decision is sent later through
// OwnerPeers.Grant.
func (o *Owner) Ask(ctx context.Context, ask Ask) Answer {
	doc := o.Document()
	if doc == nil {
		return Answer{Cause: CauseNoEndpoint, RetryAfter: overloadRetryAfter}
	}
	o.Ledger.SetRemote(o.Clock.Now(), ask.Loads)
	if answer, relayed := o.relay(ctx, doc, ask); relayed {
		return answer
	}
	answer := o.decide(doc, ask)
	o.decisions.add(answer)
	answer.Owner = o.Self
	return answer
}

// decide grants, queues or refuses an ask. An ask for a chat's home engine is redirected
// to the engine that is recorded as holding the chat's prefix, if there is one. If the
// asked engine itself holds it but has no capacity, the ask waits for a limited time,
// because another engine would have to compute the prefix again.
func (o *Owner) decide(doc *document.Document, ask Ask) Answer {
	c, err := o.askCandidates(doc, ask)
	if err != nil {
		return Answer{Cause: CauseNoEndpoint, RetryAfter: overloadRetryAfter}
	}
	if ask.Home && ask.Request.Chat != "" {
		recorded, known := o.Placements.Get(ask.Request.Chat)
		known = known && recorded != ""
		if known && recorded != ask.Engine && c.serves(recorded) {
			return Answer{Cause: CauseOverloaded, Next: recorded, NextHoldsPrefix: true, Loads: o.Ledger.MinLoads()}
		}
		ask.HoldsPrefix = known && recorded == ask.Engine
		if !known && o.aboveMean(ask, c) {
			return o.redirect(doc, ask, c)
		}
	}
	if answer, ok := o.tryGrant(doc, ask, c); ok {
		return answer
	}
	if ask.HoldsPrefix && c.serves(ask.Engine) && doc.Policy().PrefixHolderWait() > 0 && o.Ledger.SuspendedFor(o.Clock.Now(), ask.Engine) == 0 {
		return o.enqueue(doc, ask, doc.Policy().PrefixHolderWait())
	}
	return o.redirect(doc, ask, c)
}

// aboveMean reports whether the engine's load exceeds the mean load by more than one
// work unit, so that a chat without a cached prefix should start on another engine.
func (o *Owner) aboveMean(ask Ask, c askCandidates) bool {
	if c.limits.Unbounded {
		return false
	}
	works := o.Ledger.Works(c.ids)
	total := 0
	for _, work := range works {
		total += work
	}
	return (o.Ledger.Work(ask.Engine)-1)*len(works) > total
}

// redirect refuses the ask with another engine that has capacity, or queues it if
// there is none.
func (o *Owner) redirect(doc *document.Document, ask Ask, c askCandidates) Answer {
	if !ask.Final {
		if next, ok := o.nextWithCapacity(doc, ask, c); ok {
			o.recordPlacement(doc, ask, next)
			return Answer{Cause: CauseOverloaded, Next: next, Loads: o.Ledger.MinLoads()}
		}
	}
	if !c.serves(ask.Engine) {
		return Answer{Cause: CauseNoEndpoint, RetryAfter: overloadRetryAfter}
	}
	return o.enqueue(doc, ask, requeueInterval)
}

// tryGrant admits the ask unless other asks are already queued for the engine.
func (o *Owner) tryGrant(doc *document.Document, ask Ask, c askCandidates) (Answer, bool) {
	if !c.serves(ask.Engine) || o.Queue.Len(ask.Engine) > 0 {
		return Answer{}, false
	}
	return o.admit(doc, ask, c)
}

func (o *Owner) admit(doc *document.Document, ask Ask, c askCandidates) (Answer, bool) {
	now := o.Clock.Now()
	id := o.newPermitID()
	if !o.Ledger.Admit(now, id, ask, now.Add(doc.Policy().PermitExpiry()), c.limits) {
		return Answer{}, false
	}
	o.recordPlacement(doc, ask, ask.Engine)
	return Answer{Granted: true, Ticket: ask.Ticket, Permit: id, Engine: ask.Engine, Loads: o.Ledger.MinLoads()}, true
}

// recordPlacement records the chat's engine if the ask is for the chat's home engine.
func (o *Owner) recordPlacement(doc *document.Document, ask Ask, engine EngineID) {
	if ask.Home && ask.Request.Chat != "" {
		o.Placements.Set(ask.Request.Chat, engine, doc.Policy().PlacementRecords())
	}
}

// nextWithCapacity returns the least loaded of the first maxNextChoices engines of the
// ranking that have capacity.
func (o *Owner) nextWithCapacity(doc *document.Document, ask Ask, c askCandidates) (EngineID, bool) {
	ranking, err := o.Placer.Ranking(doc, ask.Request)
	if err != nil {
		return "", false
	}
	now := o.Clock.Now()
	var best EngineID
	lowestWork, considered := 0, 0
	for _, e := range ranking {
		if e.ID() == ask.Engine || !o.Ledger.Fits(now, e.ID(), ask.Request.Work, c.limits) {
			continue
		}
		if work := o.Ledger.Work(e.ID()); considered == 0 || work < lowestWork {
			best, lowestWork = e.ID(), work
		}
		if considered++; considered == maxNextChoices {
			break
		}
	}
	return best, considered > 0
}

// Release ends a permit and grants the freed capacity to queued asks.
func (o *Owner) Release(r Release) {
	now := o.Clock.Now()
	held, known := o.Ledger.Release(now, r.Engine, r.Permit)
	if !known {
		return
	}
	o.Queue.RecordPermitTime(r.Engine, held)
	if r.Failed && r.Verdict == NotRun {
		o.Ledger.SuspendUntil(r.Engine, now.Add(refusalBackoff))
	}
	o.grantQueued(r.Engine)
}

// Report adopts and renews the permits that an ingress holds. Permits of the ingress
// that are missing have ended, and their release messages were lost.
func (o *Owner) Report(from RouterID, held []HeldPermit) {
	doc := o.Document()
	if doc == nil {
		return
	}
	now := o.Clock.Now()
	expires := now.Add(doc.Policy().PermitExpiry())
	reported := make(map[PermitID]bool, len(held))
	for _, h := range held {
		reported[h.Permit] = true
		h.Ask.Ingress = from
		o.Ledger.Adopt(now, h, expires)
	}
	for _, engine := range o.Ledger.Retain(now, from, reported, now.Add(-unreportedPermitGrace)) {
		o.grantQueued(engine)
	}
}

// SetPlacement records the engine of a chat that its home engine had no capacity for.
func (o *Owner) SetPlacement(chat ChatKey, engine EngineID) {
	if doc := o.Document(); doc != nil {
		o.Placements.Set(chat, engine, doc.Policy().PlacementRecords())
	}
}

// newPermitID returns a permit ID: a hash that stands for this run of the router, and a
// sequence number.
func (o *Owner) newPermitID() PermitID {
	const base = 36
	o.prefixOnce.Do(func() {
		start := fmt.Sprintf("%s %d", o.Self, o.Clock.Now().UnixNano())
		o.permitPrefix = strconv.FormatUint(xxhash.Sum64String(start)>>16, base) + "-"
	})
	return PermitID(o.permitPrefix + strconv.FormatUint(o.issued.Add(1), base))
}

// askCandidates holds the candidates for one ask and the limits of their load.
type askCandidates struct {
	*candidates
	limits LoadLimits
}

// requestRate returns the number of requests a second that an engine accepts, by its report.
func (o *Owner) requestRate(engine EngineID) (rate float64, limited bool) {
	e, ok := o.Placer.Engines.Get(engine)
	return e.report.RequestRate, ok && e.report.LimitsRate
}

func (o *Owner) askCandidates(doc *document.Document, ask Ask) (askCandidates, error) {
	list, err := o.Placer.candidatesFor(doc, ask.Request)
	if err != nil {
		return askCandidates{}, err
	}
	c := askCandidates{candidates: list}
	c.limits = LoadLimits{Bound: doc.Policy().Bound(), Engines: list.ids, Unbounded: !o.Placer.Bounded(doc), RequestRate: o.requestRate}
	if model, ok := doc.Model(ask.Request.Model); ok {
		c.limits.Slots = model.Slots()
	}
	return c, nil
}
