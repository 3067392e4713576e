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
	// grantGrace is added to an owner's stated wait for the way of its message.
	grantGrace = 100 * time.Millisecond
	// longestWait is the time after which an ingress asks again, since an owner
	// that started anew has forgotten its queue.
	longestWait = 10 * time.Second
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
	doc     *document.Document
	req     Request
	ranking []Engine
	avoid   map[EngineID]bool // engines not to ask at all
	tried   map[EngineID]bool
	asks    int
	refused int // asks refused at once since the last wait in a queue
	waited  bool
	last    Answer
}

// restart lets a request that has waited try every engine again.
func (s *search) restart() {
	s.refused = 0
	s.tried = maps.Clone(s.avoid)
	if s.tried == nil {
		s.tried = map[EngineID]bool{}
	}
}

// Acquire obtains a permit for the request, trying the engines of its ranking
// except those in avoid. The error is a Failure with the verdict NotRun.
func (in *Ingress) Acquire(ctx context.Context, doc *document.Document, req Request, avoid map[EngineID]bool) (*Permit, error) {
	if class, ok := doc.Class(req.Class); ok && !class.Chats() {
		req.Chat = ""
	}
	end, err := in.begin(doc, req)
	if err != nil {
		return nil, err
	}
	permit, err := in.acquire(ctx, doc, req, avoid)
	if err != nil {
		end()
		return nil, err
	}
	permit.end = end
	return permit, nil
}

// begin holds the request's organisation to its limits.
func (in *Ingress) begin(doc *document.Document, req Request) (func(), error) {
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
	s.restart()
	started := in.Clock.Now()
	permit, err := in.walk(ctx, s)
	if err == nil && in.Record != nil {
		in.Record(in.Clock.Now().Sub(started), s.asks)
	}
	return permit, err
}

// walk asks for one engine after the other.
func (in *Ingress) walk(ctx context.Context, s *search) (*Permit, error) {
	target, ok := nextEngine(s.ranking, s.tried, "")
	if !ok {
		return nil, Fail(NotRun, CauseNoEndpoint, "every engine for model %q has been tried", s.req.Model)
	}
	var expected EngineID // where the home engine's owner believes the chat to be
	for ok && s.refused < maxAsks && ctx.Err() == nil {
		answer, err := in.ask(ctx, s, target)
		if err == nil && answer.Granted {
			if s.asks > 1 && expected != target.ID() {
				in.reportPlacement(ctx, s, target.ID())
			}
			return in.hold(answer, target, s.req), nil
		}
		if err == nil {
			s.last = answer
		}
		if s.asks == 1 {
			expected = answer.Next
		}
		s.refused++
		if s.waited {
			s.restart()
		}
		target, ok = nextEngine(s.ranking, s.tried, answer.Next)
	}
	if err := ctx.Err(); err != nil {
		return nil, FailWith(NotRun, causeOfEnd(err), err)
	}
	if s.last.Cause == "" {
		return nil, Fail(NotRun, CauseOwnerSilent, "no owner of a model engine for model %q answered", s.req.Model).WithRetryAfter(overloadRetryAfter)
	}
	return nil, Fail(NotRun, CauseOverloaded, "every model engine for model %q is full", s.req.Model).WithRetryAfter(max(s.last.RetryAfter, overloadRetryAfter))
}

// ask asks for one engine and waits for a decision that follows later.
func (in *Ingress) ask(ctx context.Context, s *search, target Engine) (Answer, error) {
	s.tried[target.ID()] = true
	s.asks++
	_, more := nextEngine(s.ranking, s.tried, "")
	ticket, pending := in.grants.open(target)
	defer in.closeTicket(ctx, ticket)
	ask := Ask{
		Request:   permitView(s.req),
		Engine:    target.ID(),
		Ingress:   in.Self,
		Ticket:    ticket,
		Home:      s.asks == 1 && s.req.Chat != "" && len(s.avoid) == 0,
		Resident:  s.last.Holds && s.last.Next == target.ID(),
		Final:     !more || s.refused == maxAsks-1,
		Displaced: s.asks > 1,
	}
	answer, err := in.askOwner(ctx, s.doc, target, ask)
	s.waited = err == nil && answer.Queued
	if !s.waited {
		return answer, err
	}
	in.grants.queued(pending, answer.Owner)
	return waitGrant(ctx, pending.decision, min(answer.Wait+grantGrace, longestWait))
}

// permitView returns what an owner needs to know of a request. Only the order of
// engines without a chat depends on the request's name.
func permitView(req Request) Request {
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

// causeOfEnd tells a deadline from a caller that went away.
func causeOfEnd(err error) Cause {
	if errors.Is(err, context.DeadlineExceeded) {
		return CauseDeadline
	}
	return CauseCallerGone
}
