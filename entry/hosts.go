package entry

import (
	"context"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/hosts"
)

// The kinds of host in the platform's list.
const (
	kindRouter = "router"
	kindEngine = "engine"

	stateLeaving = "leaving"
)

// HostList gives the platform's lagging list of hosts.
type HostList interface {
	Run(ctx context.Context, changed func([]hosts.Host)) error
}

// watchHosts fills the tables of members and engines from the platform's list.
func (h *Host) watchHosts(ctx context.Context) error {
	return h.Hosts.Run(ctx, func(list []hosts.Host) {
		h.members.Propose(listedMembers(list))
		h.engines.SetListed(listedEngines(list))
	})
}

func listedMembers(list []hosts.Host) []peridotusher.Member {
	var members []peridotusher.Member
	for _, host := range list {
		if host.Kind() == kindRouter {
			members = append(members, peridotusher.NewMember(peridotusher.RouterID(host.Name()), peridotusher.Zone(host.Zone()), host.Address(), 0))
		}
	}
	return members
}

func listedEngines(list []hosts.Host) []peridotusher.Engine {
	var engines []peridotusher.Engine
	for _, host := range list {
		if host.Kind() != kindEngine {
			continue
		}
		e := peridotusher.NewEngine(peridotusher.EngineID(host.Name()), peridotusher.Zone(host.Zone()), host.Address())
		if host.State() == stateLeaving {
			e = e.WithState(peridotusher.EngineLeaving)
		}
		engines = append(engines, e)
	}
	return engines
}
