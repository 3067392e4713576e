package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/pause"
)

const (
	// seedTimeout is how long after its start a router waits for a seed to answer.
	seedTimeout = 1500 * time.Millisecond
	// registrationInterval is the interval between two renewals of a registration.
	registrationInterval = 5 * time.Second
	// discoveryInterval is the interval between two reads of the registrations. That of a router that
	// knows no other begins at minAloneInterval and grows to registrationInterval.
	discoveryInterval = 10 * time.Second
	minAloneInterval  = time.Second
	// maxRegistered is the number of routers that register, of those that know each other, and
	// maxDiscoverers the number of those that read the registrations.
	maxRegistered  = 3
	maxDiscoverers = 2
	// registrationTopic and discoveryTopic determine the order of the routers, of which the first ones
	// do so.
	registrationTopic = "registration"
	discoveryTopic    = "discovery"
)

// Discovery is where routers find each other if the seeds in their settings are down.
type Discovery interface {
	// Register registers the router, or renews its registration, which expires otherwise.
	Register(ctx context.Context, m peridotusher.Member) error
	// Registered returns the routers that are registered, as they were a few seconds ago at the earliest.
	Registered(ctx context.Context) ([]peridotusher.Member, error)
}

// discover keeps the router known to the others, and the others to it, until ctx ends. Routers of which
// no seed is alive register, a few for all that know each other. A few routers of the fleet, and each
// one that knows no other, read the registrations.
func (r *Router) discover(ctx context.Context) error {
	if r.Discovery == nil {
		return nil
	}
	pause.For(ctx, seedTimeout+rand.N(seedTimeout/3)) // routers that start together do not call at once
	alone := pause.Backoff{Base: minAloneInterval, Max: registrationInterval}
	attempts := 0 // to find another router
	var renewAt, readAt time.Time
	for ctx.Err() == nil {
		r.countWakeUp("discovery")
		now, isAlone := r.clock.Now(), r.node.IsAlone()
		if !now.Before(renewAt) && r.shouldRegister() {
			r.recordStoreCall("register", r.Discovery.Register(ctx, r.member()))
			renewAt = now.Add(registrationInterval)
		}
		if isAlone || !now.Before(readAt) && r.node.Rank(discoveryTopic) < maxDiscoverers {
			r.readRegistrations(ctx)
			readAt = now.Add(discoveryInterval)
		}
		if !isAlone {
			attempts = 0
			pause.For(ctx, registrationInterval)
			continue
		}
		pause.For(ctx, alone.Delay(attempts))
		attempts++
	}
	return nil
}

// shouldRegister reports whether others can find this router and those that it knows only if it registers.
func (r *Router) shouldRegister() bool {
	return !r.node.HasLiveSeed() && r.node.Rank(registrationTopic) < maxRegistered
}

// member returns this router as it registers.
func (r *Router) member() peridotusher.Member {
	self := r.node.Self
	return peridotusher.NewMember(peridotusher.RouterID(self.Name), peridotusher.Zone(self.Zone), self.Address, uint64(self.Incarnation))
}

// readRegistrations adds the routers that are registered.
func (r *Router) readRegistrations(ctx context.Context) {
	registered, err := r.Discovery.Registered(ctx)
	r.recordStoreCall("registrations", err)
	known := r.node.RouterCount()
	for _, m := range registered {
		r.node.AddMember(mesh.Member{Name: string(m.ID()), Zone: string(m.Zone()), Address: m.Address(), Incarnation: int64(m.Incarnation())})
	}
	if n := r.node.RouterCount(); n > known {
		r.Log.Event("discovered", "routers", n-known, "registered", len(registered))
	}
}
