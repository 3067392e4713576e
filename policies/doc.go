// Package policies holds the ways to choose an engine that the fleet's own
// way is compared with. None of them bounds an engine's load.
//
// # Usage
//
//	placer := &peridotusher.Placer{Engines: engines, Policies: policies.All(seed, ledger)}
//
// The key placement in the section [policy] of the configuration document
// chooses one of them.
package policies

import (
	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
)

// All returns every policy by the name that the configuration gives it.
func All(seed uint64, loads peridotusher.LoadView) map[document.Placement]peridotusher.Policy {
	return map[document.Placement]peridotusher.Policy{
		document.PlacementRandom:     NewRandom(seed),
		document.PlacementRoundRobin: &RoundRobin{},
		document.PlacementTwoChoices: NewTwoChoices(seed, loads),
		document.PlacementRendezvous: Rendezvous{},
	}
}
