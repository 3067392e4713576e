package entry

import (
	"context"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/hosts"
)

// watchHosts updates the member and engine tables from the platform's list of
// hosts until ctx ends.
func (h *Host) watchHosts(ctx context.Context) error {
	client := &hosts.Client{URL: h.HostsURL, Interval: h.HostsInterval, Log: h.Log}
	client.Changed = func(list []hosts.Host) {
		h.members.Propose(listedMembers(list))
		h.listing.Update(h.Clock.Now(), listedEngines(list))
		h.applyListing()
	}
	return client.Run(ctx)
}

// applyListing updates the engine table from the list, in which Listing keeps
// engines that are missing only briefly.
func (h *Host) applyListing() {
	h.eligibility.setListed(h.listing.Engines(h.Clock.Now(), h.engines))
}

func listedMembers(list []hosts.Host) []peridotusher.Member {
	var members []peridotusher.Member
	for _, host := range list {
		if host.Kind() == hosts.KindRouter {
			members = append(members, peridotusher.NewMember(peridotusher.RouterID(host.Name()), host.Zone(), host.Address(), 0))
		}
	}
	return members
}

func listedEngines(list []hosts.Host) []peridotusher.Engine {
	var engines []peridotusher.Engine
	for _, host := range list {
		if host.Kind() != hosts.KindEngine {
			continue
		}
		e := peridotusher.NewEngine(peridotusher.EngineID(host.Name()), host.Zone(), host.Address())
		if host.State() == hosts.StateLeaving {
			e = e.WithState(peridotusher.EngineLeaving)
		}
		engines = append(engines, e)
	}
	return engines
}
