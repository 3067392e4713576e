package peridotusher

import (
	"context"
	"sync"
	"time"
)

// releaseTimeout bounds the time to queue a message to an owner.
const releaseTimeout = time.Second

// heldTable holds the permits that this router has not released.
type heldTable struct {
	mu      sync.Mutex
	permits map[PermitID]*Permit
}

// Permit allows one request to be sent to one engine. The ingress holds it until Done
// or HandOver.
type Permit struct {
	ingress  *Ingress
	id       PermitID
	owner    RouterID
	engine   Engine
	req      Request
	endUsage func() // ends the request's use of its organisation's limits
	once     sync.Once
}

// Engine returns the engine that the permit is for.
func (p *Permit) Engine() Engine { return p.engine }

// ID returns the permit's ID.
func (p *Permit) ID() PermitID { return p.id }

func (in *Ingress) trackPermit(answer Answer, target Engine, req Request) *Permit {
	p := &Permit{ingress: in, id: answer.Permit, owner: answer.Owner, engine: target, req: req}
	in.held.mu.Lock()
	defer in.held.mu.Unlock()
	if in.held.permits == nil {
		in.held.permits = map[PermitID]*Permit{}
	}
	in.held.permits[p.id] = p
	return p
}

// untrackPermit removes a permit that is no longer held.
func (in *Ingress) untrackPermit(id PermitID) {
	in.held.mu.Lock()
	defer in.held.mu.Unlock()
	delete(in.held.permits, id)
}

// Held returns the permits that have not been released.
func (in *Ingress) Held() []HeldPermit {
	in.held.mu.Lock()
	defer in.held.mu.Unlock()
	all := make([]HeldPermit, 0, len(in.held.permits))
	for _, p := range in.held.permits {
		all = append(all, p.held())
	}
	return all
}

func (p *Permit) held() HeldPermit {
	return HeldPermit{Permit: p.id, Ask: Ask{Request: p.req, Engine: p.engine.ID(), Ingress: p.ingress.Self}}
}

// Renew reports the permits that this router holds to their engines' owners, which
// extends their expiry. It is called every third of the permits' lifetime and when
// an owner changed. Asks queued at a former owner move on to the next engine.
func (in *Ingress) Renew(ctx context.Context) {
	in.grants.cancelAtFormerOwners(in.Ownership)
	byOwner := in.heldByOwner()
	for owner, held := range byOwner {
		if owner == in.Self {
			in.Local.Report(in.Self, held)
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		// An owner that cannot be reached receives the next report.
		_ = in.Peers.Report(ctx, owner, held)
		cancel()
	}
}

// heldByOwner returns the held permits by owner: each under the router that granted
// it and, if another, also under the present owner of its engine.
func (in *Ingress) heldByOwner() map[RouterID][]HeldPermit {
	in.held.mu.Lock()
	defer in.held.mu.Unlock()
	byOwner := map[RouterID][]HeldPermit{}
	for _, p := range in.held.permits {
		byOwner[p.owner] = append(byOwner[p.owner], p.held())
		if current, ok := in.Ownership.OwnerOf(p.engine.ID(), p.engine.Zone()); ok && current != p.owner {
			byOwner[current] = append(byOwner[current], p.held())
		}
	}
	return byOwner
}

// Done releases the permit with the request's outcome. Later calls have no effect.
func (p *Permit) Done(ctx context.Context, verdict Verdict, failed bool) {
	p.once.Do(func() {
		p.endUsage()
		in := p.ingress
		in.untrackPermit(p.id)
		r := Release{Permit: p.id, Engine: p.engine.ID(), Ingress: in.Self, Verdict: verdict, Failed: failed}
		in.sendRelease(ctx, p.owner, r)
		if current, ok := in.Ownership.OwnerOf(p.engine.ID(), p.engine.Zone()); ok && current != p.owner {
			in.sendRelease(ctx, current, r)
		}
	})
}

// sendRelease sends the release of a permit to the router that counts it.
func (in *Ingress) sendRelease(ctx context.Context, owner RouterID, r Release) {
	if owner == in.Self {
		in.Local.Release(r)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	// An owner that cannot be reached drops the permit after the next report, which
	// lacks it, or when it expires.
	_ = in.Peers.Release(ctx, owner, r)
}
