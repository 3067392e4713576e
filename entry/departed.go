package entry

import (
	"slices"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/document"
)

// hasDeparted reports whether a replica of a plain service is no longer part of the configuration.
// Without a configuration nothing is known to have departed.
func hasDeparted(doc *document.Document, replica document.Replica) bool {
	if doc == nil {
		return false
	}
	listed := func(s *document.Service) bool {
		return slices.ContainsFunc(s.Replicas(), func(r document.Replica) bool { return r.Address() == replica.Address() })
	}
	return !slices.ContainsFunc(doc.Services(), listed)
}

// isDeparting reports whether an engine was ordered to leave or is no longer listed.
func isDeparting(engines *peridotusher.Engines, id peridotusher.EngineID) bool {
	e, ok := engines.Get(id)
	return !ok || e.State() == peridotusher.EngineLeaving
}
