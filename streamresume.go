package peridotusher

import "context"

// PermitReporter reports held permits to the owners on other routers.
type PermitReporter interface {
	Report(ctx context.Context, to RouterID, held []HeldPermit) error
}

// Resume takes over the permit of a request that is already running at the engine.
// The engine's owner counts it even beyond the bound. An owner that cannot be
// reached learns of it from the next report of held permits.
func (in *Ingress) Resume(ctx context.Context, peers PermitReporter, id PermitID, req Request, engine Engine) *Permit {
	owner, ok := in.Ownership.OwnerOf(engine.ID(), engine.Zone())
	if !ok {
		owner = in.Self
	}
	ask := Ask{Request: req, Engine: engine.ID(), Ingress: in.Self, Budget: req.Deadline.Sub(in.Clock.Now())}
	held := []HeldPermit{{Permit: id, Ask: ask}}
	if owner == in.Self {
		in.Local.Report(in.Self, held)
	} else {
		// An owner that cannot be reached counts the work by the engine's load report.
		_ = peers.Report(ctx, owner, held)
	}
	p := in.trackPermit(Answer{Permit: id, Owner: owner}, engine, req)
	p.endUsage = func() {}
	return p
}

// HandOver stops tracking the permit without releasing it, because another router has
// taken over its request. Done has no effect afterwards.
func (p *Permit) HandOver() {
	p.once.Do(func() {
		p.endUsage()
		p.ingress.untrackPermit(p.id)
	})
}
