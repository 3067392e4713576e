package peridotusher

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/document"
)

const (
	// maxAsks is the most owners that an ingress asks for one request.
	maxAsks = 8
	// grantDeliveryMargin is added to an owner's stated wait for the way of its message.
	grantDeliveryMargin = 100 * time.Millisecond
	// maxGrantWait is the time after which an ingress asks again, since an owner
	// that started anew has forgotten its queue.
	maxGrantWait = 10 * time.Second
)

// PermitPeers asks the owners on other routers.
type PermitPeers interface {
	Ask(ctx context.Context, to RouterID, ask Ask) (Answer, error)
	Return(ctx context.Context, to RouterID, r Return) error
	Report(ctx context.Context, to RouterID, held []HeldPermit) error
	Placed(ctx context.Context, to RouterID, chat ChatKey, engine EngineID) error
}

// Ownership says which router owns an engine, and which takes its place.
type Ownership interface {
	OwnerOf(engine EngineID, zone Zone) (RouterID, bool)
	DeputyOf(engine EngineID, zone Zone) (RouterID, bool)
}

// Ingress obtains permits for the requests that came to this router.
type Ingress struct {
	Self      RouterID
	Ownership Ownership
	Engines   *Engines
	Placer    *Placer
	Local     *Owner
	Peers     PermitPeers
	Clock     Clock
	Record    func(took time.Duration, asks int) // nil records nothing
	Limits    *Limits                            // nil sets organisations no limit

	grants grantTable
	held   heldTable
}

// search is the walk of one request over the engines of its ranking.
type search struct {
	doc        *document.Document
	req        Request
	ranking    []Engine
	avoid      map[EngineID]bool // engines not to ask at all
	asked      map[EngineID]bool
	asks       int
	refusals   int // asks refused at once since the last wait in a queue
	queued     bool
	lastAnswer Answer
}

// resetAsked lets a request that has waited try every engine again.
func (s *search) resetAsked() {
	s.refusals = 0
	s.asked = maps.Clone(s.avoid)
	if s.asked == nil {
		s.asked = map[EngineID]bool{}
	}
}

// Acquire obtains a permit for the request, trying the engines of its ranking
// except those in avoid. The error is a Failure with the verdict NotRun.
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

// sendRequest holds the request's organisation to its limits.
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

// askInOrder asks for one engine after the other.
func (in *Ingress) askInOrder(ctx context.Context, s *search) (*Permit, error) {
	target, ok := nextEngine(s.ranking, s.asked, "")
	if !ok {
		return nil, Fail(NotRun, CauseNoEndpoint, "every engine for model %q has been tried", s.req.Model)
	}
	var expected EngineID // where the home engine's owner believes the chat to be
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

// ask asks for one engine and waits for a decision that follows later.
func (in *Ingress) ask(ctx context.Context, s *search, target Engine) (Answer, error) {
	s.asked[target.ID()] = true
	s.asks++
	_, more := nextEngine(s.ranking, s.asked, "")
	ticket, pending := in.grants.add(target)
	defer in.closeAsk(ctx, ticket)
	ask := Ask{
		Request:   requestForOwner(s.req),
		Engine:    target.ID(),
		Ingress:   in.Self,
		Ticket:    ticket,
		Home:      s.asks == 1 && s.req.Chat != "" && len(s.avoid) == 0,
		Resident:  s.lastAnswer.Holds && s.lastAnswer.Next == target.ID(),
		Final:     !more || s.refusals == maxAsks-1,
		Displaced: s.asks > 1,
	}
	answer, err := in.askOwner(ctx, s.doc, target, ask)
	s.queued = err == nil && answer.Queued
	if !s.queued {
		return answer, err
	}
	in.grants.setOwner(pending, answer.Owner)
	return waitGrant(ctx, pending.decision, min(answer.Wait+grantDeliveryMargin, maxGrantWait))
}

// requestForOwner returns what an owner needs to know of a request. Only the order of
// engines without a chat depends on the request's name.
func requestForOwner(req Request) Request {
	const nameBytes = 8
	if req.Chat != "" {
		req.ID = ""
	}
	req.ID = req.ID[:min(len(req.ID), nameBytes)]
	return req
}

// askOwner asks the owner of the engine, and its deputy when the owner is silent.
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
	ask.Loads = in.Local.Ledger.News()
	answer, err := in.Peers.Ask(ctx, to, ask)
	if err != nil {
		return Answer{}, err
	}
	in.Local.Ledger.SetRemote(in.Clock.Now(), answer.Loads)
	return answer, nil
}

// reportPlacement tells the owner of the chat's home engine where the chat went.
func (in *Ingress) reportPlacement(ctx context.Context, s *search, engine EngineID) {
	if s.req.Chat == "" {
		return
	}
	home := s.ranking[0]
	owner, ok := in.Ownership.OwnerOf(home.ID(), home.Zone())
	if !ok || owner == in.Self {
		in.Local.Placed(s.req.Chat, engine)
		return
	}
	// A record that is not updated costs the chat's next turn its prefix.
	_ = in.Peers.Placed(ctx, owner, s.req.Chat, engine)
}

// nextEngine returns the preferred engine if it is in the ranking and was not
// tried, else the first of the ranking that was not tried.
func nextEngine(ranking []Engine, tried map[EngineID]bool, preferred EngineID) (Engine, bool) {
	var first Engine
	found := false
	for _, e := range ranking {
		if tried[e.ID()] {
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

// contextCause tells a deadline from a caller that went away.
func contextCause(err error) Cause {
	if errors.Is(err, context.DeadlineExceeded) {
		return CauseDeadline
	}
	return CauseCallerGone
}
