package peridotusher

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/document"
)

const (
	// maxAsks is the largest number of asks that an ingress sends for one request
	// without waiting in a queue.
	maxAsks = 8
	// grantDeliveryMargin is added to an owner's stated wait for the delivery of its message.
	grantDeliveryMargin = 100 * time.Millisecond
	// maxGrantWait is the time after which an ingress asks again, since an owner
	// that restarted has lost its queue.
	maxGrantWait = 10 * time.Second
)

// PermitPeers sends an ingress's messages to the owners on other routers.
type PermitPeers interface {
	Ask(ctx context.Context, to RouterID, ask Ask) (Answer, error)
	Release(ctx context.Context, to RouterID, r Release) error
	Report(ctx context.Context, to RouterID, held []HeldPermit) error
	SetPlacement(ctx context.Context, to RouterID, chat ChatKey, engine EngineID) error
}

// Ownership determines which router owns an engine, and which is the owner's deputy.
type Ownership interface {
	OwnerOf(engine EngineID, zone Zone) (RouterID, bool)
	DeputyOf(engine EngineID, zone Zone) (RouterID, bool)
}

// Ingress obtains permits for the requests that this router received from callers.
type Ingress struct {
	Self      RouterID
	Ownership Ownership
	Engines   *Engines
	Placer    *Placer
	Local     *Owner
	Peers     PermitPeers
	Clock     Clock
	Record    func(took time.Duration, asks int) // called for each permit obtained; may be nil
	Limits    *Limits                            // limits of the organisations; nil for none

	grants grantTable
	held   heldTable
}

// search is the state of one request's search for a permit over its ranking.
type search struct {
	doc        *document.Document
	req        Request
	ranking    []Engine
	avoid      map[EngineID]bool // engines that are never asked for
	asked      map[EngineID]bool
	asks       int    // number of asks sent
	refusals   int    // asks refused without waiting since the last wait in a queue
	queued     bool   // whether the last ask was queued by the owner
	lastAnswer Answer // the last answer received from an owner
}

// resetAsked allows every engine to be asked for again, after the request has waited.
func (s *search) resetAsked() {
	s.refusals = 0
	s.asked = maps.Clone(s.avoid)
	if s.asked == nil {
		s.asked = map[EngineID]bool{}
	}
}

// Acquire obtains a permit for the request, asking for the engines of its ranking
// in order, except those in avoid. The error is a Failure with the verdict NotRun.
func (in *Ingress) Acquire(ctx context.Context, doc *document.Document, req Request, avoid map[EngineID]bool) (*Permit, error) {
	if class, ok := doc.Class(req.Class); ok && !class.Chats() {
		req.Chat = ""
	}
	end, err := in.checkOrganisationLimits(doc, req)
	if err != nil {
		return nil, err
	}
	permit, err := in.acquire(ctx, doc, req, avoid)
	if err != nil {
		end()
		return nil, err
	}
	permit.endUsage = end
	return permit, nil
}

// checkOrganisationLimits admits the request within its organisation's limits. The
// function that it returns ends the request's use of them.
func (in *Ingress) checkOrganisationLimits(doc *document.Document, req Request) (func(), error) {
	org, ok := doc.Organisation(req.Organisation)
	if !ok || in.Limits == nil {
		return func() {}, nil
	}
	return in.Limits.Begin(org)
}

func (in *Ingress) acquire(ctx context.Context, doc *document.Document, req Request, avoid map[EngineID]bool) (*Permit, error) {
	ranking, err := in.Placer.Ranking(doc, req)
	if err != nil {
		return nil, err
	}
	s := &search{doc: doc, req: req, ranking: ranking, avoid: avoid}
	s.resetAsked()
	started := in.Clock.Now()
	permit, err := in.askInOrder(ctx, s)
	if err == nil && in.Record != nil {
		in.Record(in.Clock.Now().Sub(started), s.asks)
	}
	return permit, err
}

// askInOrder asks for one engine after the other until one is granted.
func (in *Ingress) askInOrder(ctx context.Context, s *search) (*Permit, error) {
	target, ok := nextEngine(s.ranking, s.asked, "")
	if !ok {
		return nil, Fail(NotRun, CauseNoEndpoint, "every engine for model %q has been tried", s.req.Model)
	}
	var expected EngineID // where the home engine's owner has the chat recorded
	for ok && s.refusals < maxAsks && ctx.Err() == nil {
		answer, err := in.ask(ctx, s, target)
		if err == nil && answer.Granted {
			if s.asks > 1 && expected != target.ID() {
				in.reportPlacement(ctx, s, target.ID())
			}
			return in.trackPermit(answer, target, s.req), nil
		}
		if err == nil {
			s.lastAnswer = answer
		}
		if s.asks == 1 {
			expected = answer.Next
		}
		s.refusals++
		if s.queued {
			s.resetAsked()
		}
		target, ok = nextEngine(s.ranking, s.asked, answer.Next)
	}
	if err := ctx.Err(); err != nil {
		return nil, FailWith(NotRun, contextCause(err), err)
	}
	if s.lastAnswer.Cause == "" {
		return nil, Fail(NotRun, CauseOwnerUnreachable, "no owner of a model engine for model %q answered", s.req.Model).WithRetryAfter(overloadRetryAfter)
	}
	return nil, Fail(NotRun, CauseOverloaded, "every model engine for model %q is full", s.req.Model).WithRetryAfter(max(s.lastAnswer.RetryAfter, overloadRetryAfter))
}

// ask asks for one engine and, if the ask is queued, waits for the decision.
func (in *Ingress) ask(ctx context.Context, s *search, target Engine) (Answer, error) {
	s.asked[target.ID()] = true
	s.asks++
	_, more := nextEngine(s.ranking, s.asked, "")
	ticket, pending := in.grants.add(target)
	defer in.closeAsk(ctx, ticket)
	ask := Ask{
		Request:     requestForOwner(s.req),
		Engine:      target.ID(),
		Ingress:     in.Self,
		Ticket:      ticket,
		Home:        s.asks == 1 && s.req.Chat != "" && len(s.avoid) == 0,
		HoldsPrefix: s.lastAnswer.NextHoldsPrefix && s.lastAnswer.Next == target.ID(),
		Final:       !more || s.refusals == maxAsks-1,
		Displaced:   s.asks > 1,
	}
	answer, err := in.askOwner(ctx, s.doc, target, ask)
	s.queued = err == nil && answer.Queued
	if !s.queued {
		return answer, err
	}
	in.grants.setOwner(pending, answer.Owner)
	return waitGrant(ctx, pending.decision, min(answer.Wait+grantDeliveryMargin, maxGrantWait))
}

// requestForOwner returns the part of a request that an owner needs. The request ID
// only affects the order of engines for a request without a chat, so it is dropped
// for chats and shortened otherwise.
func requestForOwner(req Request) Request {
	const idBytes = 8
	if req.Chat != "" {
		req.ID = ""
	}
	req.ID = req.ID[:min(len(req.ID), idBytes)]
	return req
}

// askOwner asks the owner of the engine, or its deputy if the owner does not answer.
func (in *Ingress) askOwner(ctx context.Context, doc *document.Document, target Engine, ask Ask) (Answer, error) {
	owner, ok := in.Ownership.OwnerOf(target.ID(), target.Zone())
	if !ok {
		owner = in.Self
	}
	answer, err := in.askRouter(ctx, doc.Policy().OwnerTimeout(), owner, ask)
	if err == nil {
		return answer, nil
	}
	deputy, ok := in.Ownership.DeputyOf(target.ID(), target.Zone())
	if !ok || ctx.Err() != nil {
		return Answer{}, err
	}
	ask.Deputy = true
	return in.askRouter(ctx, doc.Policy().OwnerTimeout(), deputy, ask)
}

func (in *Ingress) askRouter(ctx context.Context, timeout time.Duration, to RouterID, ask Ask) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if to == in.Self {
		return in.Local.Ask(ctx, ask), nil
	}
	ask.Loads = in.Local.Ledger.MinLoads()
	answer, err := in.Peers.Ask(ctx, to, ask)
	if err != nil {
		return Answer{}, err
	}
	in.Local.Ledger.SetRemote(in.Clock.Now(), answer.Loads)
	return answer, nil
}

// reportPlacement reports to the owner of the chat's home engine where the chat went.
func (in *Ingress) reportPlacement(ctx context.Context, s *search, engine EngineID) {
	if s.req.Chat == "" {
		return
	}
	home := s.ranking[0]
	owner, ok := in.Ownership.OwnerOf(home.ID(), home.Zone())
	if !ok || owner == in.Self {
		in.Local.SetPlacement(s.req.Chat, engine)
		return
	}
	// If the report is lost, only the chat's next turn loses its cached prefix.
	_ = in.Peers.SetPlacement(ctx, owner, s.req.Chat, engine)
}

// nextEngine returns the preferred engine if it is in the ranking and was not asked
// for, else the first engine of the ranking that was not asked for.
func nextEngine(ranking []Engine, asked map[EngineID]bool, preferred EngineID) (Engine, bool) {
	var first Engine
	found := false
	for _, e := range ranking {
		if asked[e.ID()] {
			continue
		}
		if e.ID() == preferred {
			return e, true
		}
		if !found {
			first = e
			found = true
		}
	}
	return first, found
}

// contextCause returns the cause for a context that ended: its deadline, or a caller
// that disconnected.
func contextCause(err error) Cause {
	if errors.Is(err, context.DeadlineExceeded) {
		return CauseDeadline
	}
	return CauseCallerDisconnected
}
