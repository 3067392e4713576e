// Package policies holds placement policies that serve as baselines for the fleet's own policy.
// None of them bounds the load of an engine.
//
// # Usage
//
//	placer := &peridotusher.Placer{Engines: engines, Policies: policies.All(seed, ledger)}
//
// The key placement in the section [policy] of the configuration document selects one of them.
package policies

import (
	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
)

// All returns every policy by its name in the configuration.
func All(seed uint64, loads peridotusher.LoadView) map[document.Placement]peridotusher.Policy {
	return map[document.Placement]peridotusher.Policy{
		document.PlacementRandom:     NewRandom(seed),
		document.PlacementRoundRobin: &RoundRobin{},
		document.PlacementTwoChoices: NewTwoChoices(seed, loads),
		document.PlacementRendezvous: Rendezvous{},
	}
}
