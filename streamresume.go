package peridotusher

import "context"

// PermitReporter tells the owners on other routers of permits that are held.
type PermitReporter interface {
	Report(ctx context.Context, to RouterID, held []HeldPermit) error
}

// Resume takes over the permit of a request that runs at the engine already.
// The engine's owner counts it even beyond the bound. An owner that cannot be
// told learns it when it asks for the permits that are held.
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
		// An owner that cannot be reached counts by the engine's own report.
		_ = peers.Report(ctx, owner, held)
	}
	p := in.trackPermit(Answer{Permit: id, Owner: owner}, engine, req)
	p.endUsage = func() {}
	return p
}

// HandOver gives the permit up without ending it, because another router has
// taken its request over. Done does nothing afterwards.
func (p *Permit) HandOver() {
	p.once.Do(func() {
		p.endUsage()
		p.ingress.untrackPermit(p.id)
	})
}
