package peridotusher

import (
	"context"
	"sync"
	"time"

	"peridotusher.example/peridotusher/document"
)

// maxAsks is the most owners that an ingress asks for one request.
const maxAsks = 64

// PermitPeers asks the owners on other routers.
type PermitPeers interface {
	Ask(ctx context.Context, to RouterID, ask Ask) (Answer, error)
	Return(ctx context.Context, to RouterID, r Return) error
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

	mu   sync.Mutex
	held map[PermitID]HeldPermit
}

// Permit allows one request to be sent to one engine.
type Permit struct {
	ingress *Ingress
	id      PermitID
	owner   RouterID
	engine  Engine
	ask     Ask
	once    sync.Once
}

// Engine returns the engine that the permit names.
func (p *Permit) Engine() Engine { return p.engine }

// ID returns the permit's name.
func (p *Permit) ID() PermitID { return p.id }

// Acquire obtains a permit for the request, trying the engines of its ranking
// except those in avoid. The error is a Failure with the verdict NotRun.
func (in *Ingress) Acquire(ctx context.Context, doc *document.Document, req Request, avoid map[EngineID]bool) (*Permit, error) {
	if class, ok := doc.Class(req.Class); ok && !class.Chats() {
		req.Chat = ""
	}
	ranking, err := in.Placer.Ranking(doc, req)
	if err != nil {
		return nil, err
	}
	started := in.Clock.Now()
	target, ok := nextEngine(ranking, avoid, "")
	if !ok {
		return nil, Fail(NotRun, CauseNoEndpoint, "every engine for model %q has been tried", req.Model)
	}
	tried := map[EngineID]bool{}
	for id := range avoid {
		tried[id] = true
	}
	var last Answer
	for n := 0; n < maxAsks; n++ {
		tried[target.ID()] = true
		ask := Ask{Request: req, Engine: target.ID(), Ingress: in.Self, Budget: req.Deadline.Sub(in.Clock.Now()), Displaced: n > 0}
		answer, owner, err := in.ask(ctx, doc, target, ask)
		if err == nil && answer.Granted {
			in.record(in.Clock.Now().Sub(started), n+1)
			return in.hold(answer, owner, target, ask), nil
		}
		last = answer
		target, ok = nextEngine(ranking, tried, answer.Next)
		if !ok {
			break
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, FailWith(NotRun, CauseCallerGone, err)
	}
	return nil, Fail(NotRun, CauseOverloaded, "every model engine for model %q is full", req.Model).WithRetryAfter(max(last.RetryAfter, overloadRetryAfter))
}

// ask asks the owner of the engine, and its deputy when the owner is silent.
func (in *Ingress) ask(ctx context.Context, doc *document.Document, target Engine, ask Ask) (Answer, RouterID, error) {
	owner, ok := in.Ownership.OwnerOf(target.ID(), target.Zone())
	if !ok {
		owner = in.Self
	}
	answer, err := in.askRouter(ctx, doc.Policy().OwnerTimeout(), owner, ask)
	if err == nil {
		return answer, owner, nil
	}
	deputy, ok := in.Ownership.DeputyOf(target.ID(), target.Zone())
	if !ok || ctx.Err() != nil {
		return Answer{}, owner, err
	}
	ask.Deputy = true
	answer, err = in.askRouter(ctx, doc.Policy().OwnerTimeout(), deputy, ask)
	return answer, deputy, err
}

func (in *Ingress) askRouter(ctx context.Context, timeout time.Duration, to RouterID, ask Ask) (Answer, error) {
	if to == in.Self {
		return in.Local.Ask(ctx, ask), nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := in.Peers.Ask(ctx, to, ask)
	if err != nil {
		return Answer{}, err
	}
	in.Local.Ledger.SetRemote(in.Clock.Now(), answer.Loads)
	return answer, nil
}

func (in *Ingress) hold(answer Answer, owner RouterID, target Engine, ask Ask) *Permit {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.held == nil {
		in.held = map[PermitID]HeldPermit{}
	}
	in.held[answer.Permit] = HeldPermit{Permit: answer.Permit, Ask: ask}
	return &Permit{ingress: in, id: answer.Permit, owner: owner, engine: target, ask: ask}
}

// Held returns the permits that have not been returned.
func (in *Ingress) Held() []HeldPermit {
	in.mu.Lock()
	defer in.mu.Unlock()
	all := make([]HeldPermit, 0, len(in.held))
	for _, h := range in.held {
		all = append(all, h)
	}
	return all
}

// Done returns the permit with the request's outcome. Later calls do nothing.
func (p *Permit) Done(ctx context.Context, verdict Verdict, failed bool) {
	p.once.Do(func() {
		p.ingress.release(p.id)
		r := Return{Permit: p.id, Engine: p.engine.ID(), Ingress: p.ingress.Self, Verdict: verdict, Failed: failed}
		if p.owner == p.ingress.Self {
			p.ingress.Local.Return(r)
			return
		}
		// An owner that cannot be reached lets the permit expire.
		_ = p.ingress.Peers.Return(ctx, p.owner, r)
	})
}

func (in *Ingress) release(id PermitID) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.held, id)
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

func (in *Ingress) record(took time.Duration, asks int) {
	if in.Record != nil {
		in.Record(took, asks)
	}
}
